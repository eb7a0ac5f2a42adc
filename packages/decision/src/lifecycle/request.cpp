#include "chervilspring/detail/lifecycle_table.hpp"
#include "chervilspring/lifecycle.hpp"

namespace chervilspring {

namespace {

using detail::StateOf;
using detail::Transition;
using detail::TriggerOf;
using P = RequestPhase;
using T = RequestTrigger;

struct RequestMachine : boost::msm::front::state_machine_def<RequestMachine>
{
    using initial_state = StateOf<P::Reserving>;
    using transition_table =
        boost::mpl::vector<Transition<P::Reserving, T::Dispatch, P::Dispatched>,
                           Transition<P::Reserving, T::Wait, P::Waiting>,
                           Transition<P::Reserving, T::Inquire, P::Inquiring>,
                           Transition<P::Reserving, T::Answer, P::Answered>,
                           Transition<P::Dispatched, T::Reserve, P::Reserving>,
                           Transition<P::Dispatched, T::Dispatch, P::Dispatched>,
                           Transition<P::Dispatched, T::Inquire, P::Inquiring>,
                           Transition<P::Dispatched, T::Record, P::Recording>,
                           Transition<P::Dispatched, T::Answer, P::Answered>,
                           Transition<P::Inquiring, T::Inquire, P::Inquiring>,
                           Transition<P::Inquiring, T::Reserve, P::Reserving>,
                           Transition<P::Inquiring, T::Dispatch, P::Dispatched>,
                           Transition<P::Inquiring, T::Record, P::Recording>,
                           Transition<P::Inquiring, T::Wait, P::Waiting>,
                           Transition<P::Inquiring, T::Answer, P::Answered>,
                           Transition<P::Recording, T::Dispatch, P::Dispatched>,
                           Transition<P::Recording, T::Reserve, P::Reserving>,
                           Transition<P::Recording, T::Answer, P::Answered>,
                           Transition<P::Waiting, T::Reserve, P::Reserving>,
                           Transition<P::Waiting, T::Inquire, P::Inquiring>,
                           Transition<P::Waiting, T::Answer, P::Answered>>;

    template<typename Machine, typename Event> void no_transition(const Event &, Machine &, int) { }
};

using Triggers =
    boost::mp11::mp_list<TriggerOf<T::Reserve>, TriggerOf<T::Dispatch>, TriggerOf<T::Inquire>,
                         TriggerOf<T::Record>, TriggerOf<T::Wait>, TriggerOf<T::Answer>>;
using States =
    boost::mp11::mp_list<StateOf<P::Reserving>, StateOf<P::Dispatched>, StateOf<P::Inquiring>,
                         StateOf<P::Recording>, StateOf<P::Waiting>, StateOf<P::Answered>>;

} // namespace

std::optional<RequestPhase> nextPhase(RequestPhase phase, RequestTrigger trigger)
{
    static const detail::LifecycleTable<RequestMachine, Triggers, States, P, T> table;
    return table.next(phase, trigger);
}

} // namespace chervilspring
