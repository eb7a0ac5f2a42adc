// Tests of detail/control/fleet_state.hpp: records, configuration, operator commands, view updates.
#include "chervilspring/detail/control/fleet_state.hpp"
#include "chervilspring/detail/node/node.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

// Applies commands as consecutive log entries.
struct StateMachine
{
    FleetState state_;
    std::uint64_t index_ = 0;
    WallTime time_{seconds(10000)};

    Outcome operator()(const Command &command)
    {
        return apply(state_, LogEntry{++index_, 1, time_, command});
    }
};

AttemptId attempt(std::uint64_t sequence, std::uint32_t number = 0)
{
    return AttemptId{RequestId{"e1", 1, sequence}, 0, number};
}

Record record(const std::string &key, std::uint64_t digest = 5, std::uint64_t sequence = 1)
{
    Record item;
    item.key_ = RecordKey{"a", "p", key};
    item.bodyDigest_ = digest;
    item.attempt_ = attempt(sequence);
    return item;
}

ApplyFleet applyFleet(const std::string &operation, std::uint64_t base, const std::string &name)
{
    ApplyFleet change;
    change.operationId_ = operation;
    change.baseVersion_ = base;
    change.fleet_.pools_ = {Pool{name, "x", {}}};
    return change;
}

Upstream upstream(const std::string &name, std::uint64_t boot)
{
    Upstream item;
    item.name_ = name;
    item.agentBoot_ = boot;
    item.phase_ = UpstreamPhase::Serving;
    return item;
}

BOOST_AUTO_TEST_CASE(first_reservation_wins)
{
    StateMachine apply;
    BOOST_TEST((apply(ReserveRecord{record("k")}).kind_ == OutcomeKind::Accepted));
    // The proposer repeats the command because the answer was lost.
    BOOST_TEST((apply(ReserveRecord{record("k")}).kind_ == OutcomeKind::Accepted));
    const Outcome other = apply(ReserveRecord{record("k", 5, 2)});
    BOOST_TEST((other.kind_ == OutcomeKind::Duplicate));
    BOOST_TEST((other.record_->attempt_ == attempt(1)));
    BOOST_TEST((apply(ReserveRecord{record("k", 6, 3)}).kind_ == OutcomeKind::OtherBody));
}

BOOST_AUTO_TEST_CASE(completed_record_answers_resends)
{
    StateMachine apply;
    apply(ReserveRecord{record("k")});
    BOOST_TEST(
        (apply(CompleteRecord{record("k").key_, attempt(9), "x"}).kind_ == OutcomeKind::Conflict));
    BOOST_TEST((apply(CompleteRecord{record("k").key_, attempt(1), "result"}).kind_
                == OutcomeKind::Accepted));
    const Outcome resend = apply(ReserveRecord{record("k", 5, 2)});
    BOOST_TEST((resend.kind_ == OutcomeKind::Duplicate));
    BOOST_TEST(resend.record_->body_ == "result");
    BOOST_TEST((apply(ReleaseRecord{record("k").key_, attempt(1)}).kind_ == OutcomeKind::Conflict));
}

BOOST_AUTO_TEST_CASE(pending_record_never_expires)
{
    StateMachine apply;
    apply(ReserveRecord{record("10000-k")});
    apply.time_ += seconds(86400);
    apply(Noop{});
    BOOST_TEST(apply.state_.records_.size() == 1u);
    BOOST_TEST((apply(ReserveRecord{record("10000-k", 5, 2)}).kind_ == OutcomeKind::Duplicate));
}

BOOST_AUTO_TEST_CASE(resend_past_retention_is_refused)
{
    StateMachine apply;
    apply(ReserveRecord{record("10000-k")});
    apply(CompleteRecord{record("10000-k").key_, attempt(1), "r"});
    // The record answers resends while it exists; afterwards the key is refused as too old.
    for (int second = 0; second < 1000; second += 50) {
        apply.time_ = WallTime(seconds(10000 + second));
        const Outcome resend = apply(ReserveRecord{record("10000-k", 5, 2)});
        BOOST_TEST(
            (resend.kind_ == OutcomeKind::Duplicate || resend.kind_ == OutcomeKind::Expired));
    }
    BOOST_TEST(apply.state_.records_.empty());
}

BOOST_AUTO_TEST_CASE(reassignment_needs_the_recorded_attempt)
{
    StateMachine apply;
    apply(ReserveRecord{record("k")});
    const RecordKey key = record("k").key_;
    BOOST_TEST((apply(ReassignRecord{key, attempt(7), attempt(2), "u", 1}).kind_
                == OutcomeKind::Conflict));
    BOOST_TEST((apply(ReassignRecord{key, attempt(1), attempt(2), "u", 1}).kind_
                == OutcomeKind::Accepted));
    // The proposer repeats the command because the answer was lost.
    BOOST_TEST((apply(ReassignRecord{key, attempt(1), attempt(2), "u", 1}).kind_
                == OutcomeKind::Accepted));
    BOOST_TEST((apply(ReassignRecord{key, attempt(1), attempt(3), "u", 1}).kind_
                == OutcomeKind::Conflict));
}

BOOST_AUTO_TEST_CASE(record_with_unknown_outcome_is_settled_by_an_operator)
{
    StateMachine apply;
    const RecordKey key = record("k").key_;
    apply(ReserveRecord{record("k")});
    apply(MarkUnknown{key, attempt(1)});
    BOOST_TEST((apply(ReassignRecord{key, attempt(1), attempt(2), "u", 1}).kind_
                == OutcomeKind::Conflict));
    BOOST_TEST((apply(SettleRecord{"op", key, true, "settled"}).kind_ == OutcomeKind::Accepted));
    BOOST_TEST(apply(ReserveRecord{record("k", 5, 2)}).record_->body_ == "settled");
}

BOOST_AUTO_TEST_CASE(equal_base_versions_conflict)
{
    StateMachine apply;
    const Outcome first = apply(applyFleet("op1", 0, "one"));
    const Outcome second = apply(applyFleet("op2", 0, "two"));
    BOOST_TEST((first.kind_ == OutcomeKind::Accepted));
    BOOST_TEST((second.kind_ == OutcomeKind::Conflict));
    BOOST_TEST(second.version_ == first.version_);
    BOOST_TEST(apply.state_.view_.fleet_.pools_[0].name_ == "one");
}

BOOST_AUTO_TEST_CASE(resent_operation_gets_its_first_answer)
{
    StateMachine apply;
    const Outcome first = apply(applyFleet("op1", 0, "one"));
    apply(applyFleet("op2", first.version_, "two"));
    const Outcome again = apply(applyFleet("op1", 0, "one"));
    BOOST_TEST((again.kind_ == OutcomeKind::Accepted));
    BOOST_TEST(again.version_ == first.version_);
    BOOST_TEST(apply.state_.view_.fleet_.pools_[0].name_ == "two");
    // The first answer survives a restore from a snapshot.
    FleetState restored = restoreFleetState(makeSnapshot(apply.state_));
    const Outcome afterRestart =
        chervilspring::apply(restored, LogEntry{99, 1, apply.time_, applyFleet("op1", 0, "one")});
    BOOST_TEST(afterRestart.version_ == first.version_);
}

BOOST_AUTO_TEST_CASE(operator_settings_survive_restarts_of_the_agent)
{
    StateMachine apply;
    apply(AnnounceUpstream{upstream("u", 1)});
    apply(DrainUpstream{"op1", "u", true});
    apply(SetLabel{"op2", "u", "tier", "gold"});
    apply(RemoveUpstream{"u", 1});
    apply(AnnounceUpstream{upstream("u", 2)});
    const Upstream &found = apply.state_.view_.upstreams_.at(0);
    BOOST_TEST(found.drained_);
    BOOST_TEST(found.operatorLabels_.size() == 1u);
    // A late removal of the previous boot has no effect.
    BOOST_TEST((apply(RemoveUpstream{"u", 1}).kind_ == OutcomeKind::NotFound));
}

BOOST_AUTO_TEST_CASE(body_is_refused_from_its_second_crash_on_if_it_ran_alone)
{
    StateMachine apply;
    const auto refused = [&](std::uint64_t digest) {
        for (const Suspect &suspect : apply.state_.view_.suspects_) {
            if (suspect.digest_ == digest)
                return suspect.refused_;
        }
        return false;
    };
    apply(ReportCrash{1, "u", false});
    apply(ReportCrash{2, "u", false});
    BOOST_TEST(!refused(1));
    BOOST_TEST(!refused(2));
    apply(ReportCrash{1, "u", true});
    apply(ClearSuspect{2});
    BOOST_TEST(refused(1));
    BOOST_TEST(apply.state_.view_.suspects_.size() == 1u);
    // A single crash may have been caused by the VM, even if nothing else ran.
    apply(ReportCrash{3, "u", true});
    BOOST_TEST(!refused(3));
}

BOOST_AUTO_TEST_CASE(bodies_that_crashed_once_do_not_displace_one_that_is_refused)
{
    StateMachine apply;
    apply(ReportCrash{1, "u", true});
    apply(ReportCrash{1, "u", true});
    apply(ReportCrash{2, "u", false});
    apply(ReportCrash{2, "u", false});
    for (std::uint64_t digest = 100; digest < 500; ++digest)
        apply(ReportCrash{digest, "u", false});
    const auto &suspects = apply.state_.view_.suspects_;
    BOOST_REQUIRE(suspects.size() == 256u);
    BOOST_TEST(suspects[0].digest_ == 1u);
    BOOST_TEST(suspects[0].refused_);
    BOOST_TEST(suspects[1].digest_ == 2u);
    BOOST_TEST(suspects.back().digest_ == 499u);
}

struct CrashReportRow
{
    const char *description_;
    std::vector<ReportCrash> reports_; ///< in the order of their commits
    std::uint32_t crashes_; ///< that are counted
};

std::ostream &operator<<(std::ostream &stream, const CrashReportRow &row)
{
    return stream << row.description_;
}

const CrashReportRow crashReportTable[] = {
    {"copies at one upstream", {{1, "u", false, 7}, {1, "u", false, 7}, {1, "u", false, 7}}, 1},
    {"a report that is sent again later",
     {{1, "u", false, 7}, {1, "v", false, 7}, {1, "u", false, 7}},
     2},
    {"two starts of an upstream", {{1, "u", false, 7}, {1, "u", false, 8}}, 2},
    {"unknown starts", {{1, "u", false, 0}, {1, "u", false, 0}}, 2},
    {"other requests", {{1, "u", false, 7}, {2, "u", false, 7}, {2, "v", false, 7}}, 1},
};

// Guards against a sound request that is refused after a single crash, as several copies of it ran
// at the upstream that crashed.
BOOST_DATA_TEST_CASE(reports_of_the_same_crash_count_once, data::make(crashReportTable), row)
{
    StateMachine apply;
    for (const ReportCrash &report : row.reports_) {
        BOOST_TEST((apply(report).kind_ == OutcomeKind::Accepted));
        apply.state_ = restoreFleetState(makeSnapshot(apply.state_));
    }
    BOOST_TEST(apply.state_.view_.suspects_.front().crashes_ == row.crashes_);
}

struct ExplanationRow
{
    const char *description_;
    std::vector<ReportCrash> reports_; ///< in the order of their commits
    bool firstRefused_; ///< requests with digest 1 are refused
    bool secondRefused_; ///< those with digest 2
};

std::ostream &operator<<(std::ostream &stream, const ExplanationRow &row)
{
    return stream << row.description_;
}

const ExplanationRow explanationTable[] = {
    {"the second one has run well, and at no other crash",
     {{1, "u", false, 1},
      {1, "v", false, 1},
      {1, "w", false, 1},
      {1, "u", false, 2},
      {2, "v", false, 1, true},
      {2, "w", false, 1, true},
      {2, "u", false, 2, true}},
     true,
     false},
    {"the reports about it come first",
     {{2, "u", false, 1, true},
      {2, "v", false, 1, true},
      {2, "w", false, 1, true},
      {1, "u", false, 1},
      {1, "v", false, 1},
      {1, "w", false, 1}},
     true,
     false},
    {"it has run at another crash, too",
     {{1, "u", false, 1},
      {1, "v", false, 1},
      {1, "w", false, 1},
      {2, "u", false, 1, true},
      {2, "v", false, 1, true},
      {2, "x", false, 1, true}},
     true,
     true},
    {"it has never run well",
     {{1, "u", false, 1},
      {1, "v", false, 1},
      {1, "w", false, 1},
      {2, "u", false, 1},
      {2, "v", false, 1},
      {2, "w", false, 1}},
     true,
     true},
    {"both have run well",
     {{1, "u", false, 1, true},
      {1, "v", false, 1, true},
      {1, "w", false, 1, true},
      {2, "u", false, 1, true},
      {2, "v", false, 1, true},
      {2, "w", false, 1, true}},
     true,
     true},
    {"requests with a single crash explain nothing",
     {{2, "u", false, 1, true},
      {2, "v", false, 1, true},
      {2, "w", false, 1, true},
      {1, "u", false, 1},
      {3, "v", false, 1},
      {4, "w", false, 1}},
     false,
     true},
    {"two culprits",
     {{2, "u", false, 1, true},
      {2, "v", false, 1, true},
      {2, "w", false, 1, true},
      {1, "u", false, 1},
      {1, "u", false, 2},
      {1, "u", false, 3},
      {3, "v", false, 1},
      {3, "w", false, 1},
      {3, "w", false, 2}},
     true,
     false},
    {"a crash of an unknown start",
     {{1, "u", false, 1},
      {1, "v", false, 1},
      {1, "w", false, 1},
      {2, "u", false, 1, true},
      {2, "v", false, 1, true},
      {2, "w", false, 0, true}},
     true,
     true},
};

// Guards against a sound request that is refused beside one that explains all of its crashes, and
// against one that crashes upstreams and isn't refused because of others that ran there.
BOOST_DATA_TEST_CASE(crashes_are_attributed_to_the_request_that_explains_them,
                     data::make(explanationTable), row)
{
    StateMachine apply;
    for (const ReportCrash &report : row.reports_)
        apply(report);
    for (const Suspect &suspect : apply.state_.view_.suspects_) {
        if (suspect.digest_ <= 2)
            BOOST_TEST(hasCrashedTooOften(suspect)
                       == (suspect.digest_ == 1 ? row.firstRefused_ : row.secondRefused_));
    }
}

BOOST_AUTO_TEST_CASE(quarantines_are_replaced_removed_and_bounded)
{
    StateMachine apply;
    apply(SetQuarantine{Quarantine{1, {"a", "b"}, 3, 0}});
    const std::uint64_t version = apply.state_.view_.version_;
    apply(SetQuarantine{Quarantine{1, {"a"}, 4, 1}});
    BOOST_REQUIRE(apply.state_.view_.quarantines_.size() == 1u);
    BOOST_TEST((apply.state_.view_.quarantines_[0] == Quarantine{1, {"a"}, 4, 1}));
    View view = apply.state_.view_;
    view.version_ = version;
    view.quarantines_.clear();
    const ViewPointer updated = updateView(view, makeUpdate(apply.state_, version));
    BOOST_REQUIRE(updated);
    BOOST_TEST(updated->quarantines_.size() == 1u);
    const std::uint64_t changed = apply.state_.view_.version_;
    apply(SetQuarantine{Quarantine{1, {"a"}, 4, 1}});
    BOOST_TEST(apply.state_.view_.version_ == changed); // nothing to send to the nodes
    BOOST_TEST(restoreFleetState(makeSnapshot(apply.state_)).view_.quarantines_.size() == 1u);
    apply(SetQuarantine{Quarantine{1, {}, 4, 1}});
    BOOST_TEST(apply.state_.view_.quarantines_.empty());
    apply(SetQuarantine{Quarantine{1000, {"bad"}, 4, 0}});
    for (std::uint64_t id = 1; id <= 200; ++id)
        apply(SetQuarantine{Quarantine{id, {"p"}, 3, 0}});
    BOOST_TEST(apply.state_.view_.quarantines_.size() == 64u);
    BOOST_TEST(apply.state_.view_.quarantines_.back().id_ == 200u);
    BOOST_TEST(apply.state_.view_.quarantines_.front().id_ == 1000u); // it has most crashes
}

BOOST_AUTO_TEST_CASE(evacuations_are_sent_again_withdrawn_and_kept)
{
    StateMachine apply;
    Upstream near = upstream("near", 1);
    near.dataCenter_ = "dc1";
    Upstream far = upstream("far", 1);
    far.dataCenter_ = "dc2";
    apply(AnnounceUpstream{near});
    apply(AnnounceUpstream{far});
    const auto start = updateView(View{}, makeUpdate(apply.state_, 0));
    BOOST_REQUIRE(start);
    const auto takesWork = [](const View &view, const std::string &name) {
        return takesNewWork(*findByName(view.upstreams_, name), view);
    };
    const Outcome first = apply(EvacuateDataCenter{"dc2", true});
    BOOST_TEST((first.kind_ == OutcomeKind::Accepted));
    BOOST_TEST((apply(EvacuateDataCenter{"dc2", true}).kind_ == OutcomeKind::Accepted));
    BOOST_TEST(apply.state_.view_.version_ == first.version_); // the repetition changes nothing
    const auto evacuated = updateView(*start, makeUpdate(apply.state_, start->version_));
    BOOST_REQUIRE(evacuated);
    BOOST_TEST(takesWork(*evacuated, "near"));
    BOOST_TEST(!takesWork(*evacuated, "far"));
    // An upstream that registers there meanwhile gets no work either.
    Upstream restarted = far;
    restarted.agentBoot_ = 2;
    apply(AnnounceUpstream{restarted});
    const FleetState restored = restoreFleetState(makeSnapshot(apply.state_));
    BOOST_TEST(!takesWork(restored.view_, "far"));
    BOOST_TEST((apply(EvacuateDataCenter{"dc2", false}).kind_ == OutcomeKind::Accepted));
    BOOST_TEST((apply(EvacuateDataCenter{"dc2", false}).kind_ == OutcomeKind::Accepted));
    const auto ended = updateView(*evacuated, makeUpdate(apply.state_, evacuated->version_));
    BOOST_REQUIRE(ended);
    BOOST_TEST(takesWork(*ended, "far"));
}

BOOST_AUTO_TEST_CASE(number_of_evacuations_is_bounded)
{
    StateMachine apply;
    for (int i = 0; i < 1024; ++i)
        apply(EvacuateDataCenter{"dc" + std::to_string(i), true});
    const Outcome refused = apply(EvacuateDataCenter{"one more", true});
    BOOST_TEST((refused.kind_ == OutcomeKind::Conflict));
    BOOST_TEST((apply(EvacuateDataCenter{"dc7", true}).kind_ == OutcomeKind::Accepted));
    BOOST_TEST(apply.state_.view_.evacuated_.size() == 1024u);
}

BOOST_AUTO_TEST_CASE(updates_lead_to_the_same_view_and_never_back)
{
    StateMachine apply;
    apply(applyFleet("op0", 0, "zero"));
    const auto start = updateView(View{}, makeUpdate(apply.state_, 0));
    BOOST_REQUIRE(start);
    const std::uint64_t startVersion = start->version_;
    for (std::uint64_t i = 0; i < 20; ++i)
        apply(AnnounceUpstream{upstream("u" + std::to_string(i), i + 1)});
    apply(RemoveUpstream{"u3", 4});
    const ViewUpdate difference = makeUpdate(apply.state_, startVersion);
    BOOST_TEST(difference.fromVersion_ == startVersion);
    BOOST_TEST(!difference.fleet_);
    const auto newer = updateView(*start, difference);
    BOOST_REQUIRE(newer);
    BOOST_TEST(newer->upstreams_.size() == 19u);
    BOOST_TEST(newer->fleet_.pools_[0].name_ == "zero");
    // An older update that arrives late is ignored.
    BOOST_TEST(!updateView(*newer, makeFullUpdate(*start)));
    // An update based on a version that the node doesn't have is ignored.
    BOOST_TEST(!updateView(View{}, difference));
}

BOOST_AUTO_TEST_CASE(node_hundreds_of_changes_behind_gets_the_whole_view)
{
    StateMachine apply;
    apply(AnnounceUpstream{upstream("u", 1)});
    const std::uint64_t version = apply.state_.view_.version_;
    for (int i = 0; i < 700; ++i)
        apply(SetLabel{"op" + std::to_string(i), "u", "n", std::to_string(i)});
    BOOST_TEST(makeUpdate(apply.state_, version).fromVersion_ == 0u);
    BOOST_TEST(makeUpdate(apply.state_, version + 600).fromVersion_ == version + 600);
}

} // namespace
