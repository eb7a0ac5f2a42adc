#include "chervilspring/detail/lifecycle_table.hpp"
#include "chervilspring/lifecycle.hpp"

namespace chervilspring {

namespace {

using detail::StateOf;
using detail::Transition;
using detail::TriggerOf;
using P = AttemptPhase;
using T = AttemptTrigger;

struct AttemptMachine : boost::msm::front::state_machine_def<AttemptMachine>
{
    using initial_state = StateOf<P::Queued>;
    using transition_table = boost::mpl::vector<Transition<P::Queued, T::Start, P::Running>,
                                                Transition<P::Queued, T::Revoke, P::Revoked>,
                                                // Applies if the upstream could not be reached.
                                                Transition<P::Running, T::Revoke, P::Revoked>,
                                                Transition<P::Running, T::Finish, P::Finished>>;

    template<typename Machine, typename Event> void no_transition(const Event &, Machine &, int) { }
};

using Triggers =
    boost::mp11::mp_list<TriggerOf<T::Start>, TriggerOf<T::Finish>, TriggerOf<T::Revoke>>;
using States = boost::mp11::mp_list<StateOf<P::Queued>, StateOf<P::Running>, StateOf<P::Finished>,
                                    StateOf<P::Revoked>>;

} // namespace

std::optional<AttemptPhase> nextPhase(AttemptPhase phase, AttemptTrigger trigger)
{
    static const detail::LifecycleTable<AttemptMachine, Triggers, States, P, T> table;
    return table.next(phase, trigger);
}

} // namespace chervilspring
