#include "chervilspring/detail/lifecycle_table.hpp"
#include "chervilspring/lifecycle.hpp"

namespace chervilspring {

namespace {

using detail::StateOf;
using detail::Transition;
using detail::TriggerOf;
using R = MemberRole;
using T = MemberTrigger;

struct MemberMachine : boost::msm::front::state_machine_def<MemberMachine>
{
    using initial_state = StateOf<R::Learner>;
    using transition_table =
        boost::mpl::vector<Transition<R::Learner, T::Promoted, R::Follower>,
                           Transition<R::Follower, T::Demoted, R::Learner>,
                           Transition<R::Follower, T::ElectionTimeout, R::PreCandidate>,
                           Transition<R::Follower, T::LeaderSeen, R::Follower>,
                           Transition<R::PreCandidate, T::PreVoteWon, R::Candidate>,
                           Transition<R::PreCandidate, T::LeaderSeen, R::Follower>,
                           Transition<R::PreCandidate, T::ElectionTimeout, R::PreCandidate>,
                           Transition<R::PreCandidate, T::Demoted, R::Learner>,
                           Transition<R::Candidate, T::ElectionWon, R::Leader>,
                           Transition<R::Candidate, T::LeaderSeen, R::Follower>,
                           Transition<R::Candidate, T::ElectionTimeout, R::PreCandidate>,
                           Transition<R::Candidate, T::Demoted, R::Learner>,
                           Transition<R::Leader, T::LeaderSeen, R::Follower>,
                           Transition<R::Leader, T::QuorumLost, R::Follower>,
                           Transition<R::Leader, T::Demoted, R::Learner>>;

    template<typename Machine, typename Event> void no_transition(const Event &, Machine &, int) { }
};

using Triggers = boost::mp11::mp_list<TriggerOf<T::Promoted>, TriggerOf<T::Demoted>,
                                      TriggerOf<T::ElectionTimeout>, TriggerOf<T::PreVoteWon>,
                                      TriggerOf<T::ElectionWon>, TriggerOf<T::LeaderSeen>,
                                      TriggerOf<T::QuorumLost>>;
using States =
    boost::mp11::mp_list<StateOf<R::Learner>, StateOf<R::Follower>, StateOf<R::PreCandidate>,
                         StateOf<R::Candidate>, StateOf<R::Leader>>;

} // namespace

std::optional<MemberRole> nextRole(MemberRole role, MemberTrigger trigger)
{
    static const detail::LifecycleTable<MemberMachine, Triggers, States, R, T> table;
    return table.next(role, trigger);
}

} // namespace chervilspring
