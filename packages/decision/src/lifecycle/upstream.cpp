#include "chervilspring/detail/lifecycle_table.hpp"
#include "chervilspring/lifecycle.hpp"

namespace chervilspring {

namespace {

using detail::StateOf;
using detail::Transition;
using detail::TriggerOf;
using P = UpstreamPhase;
using T = UpstreamTrigger;

struct UpstreamMachine : boost::msm::front::state_machine_def<UpstreamMachine>
{
    using initial_state = StateOf<P::Announced>;
    using transition_table = boost::mpl::vector<Transition<P::Announced, T::Ready, P::Serving>,
                                                Transition<P::Announced, T::Leave, P::Leaving>,
                                                Transition<P::Announced, T::LeaseExpired, P::Gone>,
                                                Transition<P::Serving, T::Ready, P::Serving>,
                                                Transition<P::Serving, T::Leave, P::Leaving>,
                                                Transition<P::Serving, T::LeaseExpired, P::Gone>,
                                                Transition<P::Leaving, T::LeaseExpired, P::Gone>,
                                                Transition<P::Leaving, T::Announce, P::Announced>,
                                                Transition<P::Gone, T::Announce, P::Announced>>;

    template<typename Machine, typename Event> void no_transition(const Event &, Machine &, int) { }
};

using Triggers = boost::mp11::mp_list<TriggerOf<T::Ready>, TriggerOf<T::Leave>,
                                      TriggerOf<T::LeaseExpired>, TriggerOf<T::Announce>>;
using States = boost::mp11::mp_list<StateOf<P::Announced>, StateOf<P::Serving>, StateOf<P::Leaving>,
                                    StateOf<P::Gone>>;

} // namespace

std::optional<UpstreamPhase> nextPhase(UpstreamPhase phase, UpstreamTrigger trigger)
{
    static const detail::LifecycleTable<UpstreamMachine, Triggers, States, P, T> table;
    return table.next(phase, trigger);
}

} // namespace chervilspring
