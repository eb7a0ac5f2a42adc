// Tests lifecycle.hpp: allowed and forbidden transitions of each state machine.
#include "chervilspring/lifecycle.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace {

using namespace chervilspring;

template<typename State, typename Trigger> struct TransitionRow
{
    State from_;
    Trigger trigger_;
    std::optional<State> to_; ///< nothing: the trigger does not apply in from_
};
template<typename State, typename Trigger>
std::ostream &operator<<(std::ostream &out, const TransitionRow<State, Trigger> &row)
{
    return out << "state " << static_cast<int>(row.from_) << " trigger "
               << static_cast<int>(row.trigger_);
}

using MemberRow = TransitionRow<MemberRole, MemberTrigger>;
const MemberRow memberTable[] = {
    {MemberRole::Learner, MemberTrigger::Promoted, MemberRole::Follower},
    {MemberRole::Learner, MemberTrigger::ElectionTimeout, std::nullopt},
    {MemberRole::Learner, MemberTrigger::ElectionWon, std::nullopt},
    {MemberRole::Follower, MemberTrigger::ElectionTimeout, MemberRole::PreCandidate},
    {MemberRole::Follower, MemberTrigger::ElectionWon, std::nullopt},
    {MemberRole::PreCandidate, MemberTrigger::PreVoteWon, MemberRole::Candidate},
    {MemberRole::PreCandidate, MemberTrigger::LeaderSeen, MemberRole::Follower},
    {MemberRole::Candidate, MemberTrigger::ElectionWon, MemberRole::Leader},
    {MemberRole::Candidate, MemberTrigger::ElectionTimeout, MemberRole::PreCandidate},
    {MemberRole::Leader, MemberTrigger::QuorumLost, MemberRole::Follower},
    {MemberRole::Leader, MemberTrigger::ElectionTimeout, std::nullopt},
    {MemberRole::Leader, MemberTrigger::Demoted, MemberRole::Learner},
};

BOOST_DATA_TEST_CASE(member_roles, boost::unit_test::data::make(memberTable), row)
{
    BOOST_TEST((nextRole(row.from_, row.trigger_) == row.to_));
}

using AttemptRow = TransitionRow<AttemptPhase, AttemptTrigger>;
const AttemptRow attemptTable[] = {
    {AttemptPhase::Queued, AttemptTrigger::Start, AttemptPhase::Running},
    {AttemptPhase::Queued, AttemptTrigger::Revoke, AttemptPhase::Revoked},
    {AttemptPhase::Queued, AttemptTrigger::Finish, std::nullopt},
    {AttemptPhase::Running, AttemptTrigger::Finish, AttemptPhase::Finished},
    {AttemptPhase::Running, AttemptTrigger::Start, std::nullopt},
    {AttemptPhase::Revoked, AttemptTrigger::Start, std::nullopt},
    {AttemptPhase::Finished, AttemptTrigger::Start, std::nullopt},
    {AttemptPhase::Finished, AttemptTrigger::Revoke, std::nullopt},
};

BOOST_DATA_TEST_CASE(attempt_phases, boost::unit_test::data::make(attemptTable), row)
{
    BOOST_TEST((nextPhase(row.from_, row.trigger_) == row.to_));
}

using UpstreamRow = TransitionRow<UpstreamPhase, UpstreamTrigger>;
const UpstreamRow upstreamTable[] = {
    {UpstreamPhase::Announced, UpstreamTrigger::Ready, UpstreamPhase::Serving},
    {UpstreamPhase::Serving, UpstreamTrigger::Leave, UpstreamPhase::Leaving},
    {UpstreamPhase::Leaving, UpstreamTrigger::Ready, std::nullopt},
    {UpstreamPhase::Leaving, UpstreamTrigger::Announce, UpstreamPhase::Announced},
    {UpstreamPhase::Serving, UpstreamTrigger::LeaseExpired, UpstreamPhase::Gone},
    {UpstreamPhase::Gone, UpstreamTrigger::Ready, std::nullopt},
    {UpstreamPhase::Gone, UpstreamTrigger::Announce, UpstreamPhase::Announced},
};

BOOST_DATA_TEST_CASE(upstream_phases, boost::unit_test::data::make(upstreamTable), row)
{
    BOOST_TEST((nextPhase(row.from_, row.trigger_) == row.to_));
}

using RequestRow = TransitionRow<RequestPhase, RequestTrigger>;
const RequestRow requestTable[] = {
    {RequestPhase::Reserving, RequestTrigger::Dispatch, RequestPhase::Dispatched},
    {RequestPhase::Reserving, RequestTrigger::Record, std::nullopt},
    {RequestPhase::Waiting, RequestTrigger::Dispatch, std::nullopt},
    {RequestPhase::Inquiring, RequestTrigger::Record, RequestPhase::Recording},
    {RequestPhase::Recording, RequestTrigger::Wait, std::nullopt},
    {RequestPhase::Answered, RequestTrigger::Dispatch, std::nullopt},
};

BOOST_DATA_TEST_CASE(request_phases, boost::unit_test::data::make(requestTable), row)
{
    BOOST_TEST((nextPhase(row.from_, row.trigger_) == row.to_));
}

} // namespace
