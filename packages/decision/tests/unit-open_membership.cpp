// Tests of open membership: bootstrap from seeds, joining, replacement, documents, direct
// upstreams.
#include "control_group.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

ApplyDocument document(std::uint64_t version, const std::string &text)
{
    ApplyDocument command;
    command.documentVersion_ = version;
    command.document_ = text;
    return command;
}

BOOST_AUTO_TEST_CASE(processes_beyond_the_seeds_become_voters)
{
    ControlGroup group(5, 1);
    group.restartWithSeeds({"c1", "c2", "c3"});
    group.run(seconds(5));
    BOOST_REQUIRE(!group.leader().empty());
    BOOST_TEST(group.voterNames().size() == 5u);
}

// A member's VM is lost for good. A replacement starts at a new address with a blank disk, and its
// seeds still include the lost member.
BOOST_DATA_TEST_CASE(replacement_becomes_a_voter_in_time, data::xrange(1, 11), seed)
{
    ControlGroup group(3, static_cast<std::uint64_t>(seed));
    group.restartWithSeeds({"c1", "c2", "c3"});
    group.run(seconds(4));
    const std::string lost = group.leader();
    BOOST_REQUIRE(!lost.empty());
    group.propose(document(3, "three"));
    group.run(milliseconds(300));
    group.crash(lost);
    group.run(seconds(2));
    group.addProcess("c4", {lost, "c1", "c2"});
    group.run(milliseconds(3500));
    const auto names = group.voterNames();
    BOOST_TEST(names.size() == 3u);
    BOOST_TEST(std::count(names.begin(), names.end(), "c4") == 1);
    BOOST_TEST(std::count(names.begin(), names.end(), lost) == 0);
    // The group tolerates another loss again and keeps the acknowledged document.
    group.crash(group.leader());
    group.run(seconds(3));
    BOOST_REQUIRE(!group.leader().empty());
    BOOST_TEST(group.member(group.leader()).state_.fleet_.document_ == "three");
}

BOOST_AUTO_TEST_CASE(planned_replacement_leaves_as_many_voters_as_before)
{
    ControlGroup group(3, 5);
    group.restartWithSeeds({"c1", "c2", "c3"});
    group.run(seconds(4));
    group.addProcess("c4", {"c1", "c2", "c3"});
    group.run(seconds(2));
    BOOST_TEST(group.voterNames().size() == 4u);
    group.crash("c2");
    group.run(seconds(4));
    BOOST_TEST(group.voterNames().size() == 3u);
}

struct LostDiskRow
{
    const char *description_;
    int size_; ///< voters at the beginning
    int silent_; ///< voters that crash for good before
    bool newName_; ///< the process that loses its disks replaces a silent voter at a new address
};

std::ostream &operator<<(std::ostream &stream, const LostDiskRow &row)
{
    return stream << row.description_;
}

const LostDiskRow lostDiskTable[] = {
    {"one of three voters", 3, 0, false},
    {"one of five voters, another one is silent", 5, 1, false},
    {"replacement of one of three voters", 3, 1, true},
    {"replacement of one of five voters, another one is silent", 5, 2, true},
};

// Guards against voters that are lost for good but count towards the quorum: a process crashes and
// loses its disk each time that it is made a voter, before it has stored that it is one.
BOOST_DATA_TEST_CASE(process_that_loses_its_disk_at_each_promotion_leaves_a_quorum,
                     data::make(lostDiskTable) * data::xrange(1, 4), row, seed)
{
    ControlGroup group(row.size_, static_cast<std::uint64_t>(seed));
    group.restartWithSeeds({"c1", "c2", "c3"});
    group.run(seconds(5));
    BOOST_REQUIRE(group.voterNames().size() == static_cast<std::size_t>(row.size_));
    std::vector<std::string> others = group.names();
    std::erase(others, group.leader());
    for (int i = 0; i < row.silent_; ++i) {
        group.crash(others.back());
        others.pop_back();
    }
    const std::string unstable = row.newName_ ? "c9" : others.back();
    if (row.newName_)
        group.addProcess(unstable, {"c1", "c2", "c3"});
    const auto isVoter = [&] {
        const std::string leader = group.leader();
        if (leader.empty())
            return false;
        const Member *member = findMember(group.member(leader).state_.consensus_,
                                          group.member(unstable).disk_.synced_.memberId_);
        return member && member->voter_;
    };
    for (int i = 0; i < 4; ++i) {
        if (i > 0 || !row.newName_) {
            group.replaceDisk(unstable);
            group.run(milliseconds(400));
            group.boot(unstable);
        }
        BOOST_REQUIRE_MESSAGE(group.runUntil(seconds(5), isVoter), "promotion " << i);
    }
    group.replaceDisk(unstable);
    group.run(seconds(3));
    const std::uint64_t token = group.propose(document(3, "three"));
    group.run(seconds(1));
    BOOST_TEST((group.answers_[token].kind_ == OutcomeKind::Accepted));
    // The process is a voter again once it keeps its disk.
    group.boot(unstable);
    group.run(seconds(4));
    BOOST_TEST(isVoter());
}

// What happens to one of the founding members during the first start.
enum class FoundingFault {
    NeverStarts,
    CrashesBeforeItsFirstSync, ///< it starts again on a blank disk
    Crashes, ///< it starts again on its disk
    LosesItsDisk, ///< at each crash
};

struct FoundingRow
{
    const char *description_;
    int size_; ///< control processes, of which the first three are founding members
    FoundingFault fault_;
};

std::ostream &operator<<(std::ostream &stream, const FoundingRow &row)
{
    return stream << row.description_;
}

const FoundingRow foundingTable[] = {
    {"3 processes, one never starts", 3, FoundingFault::NeverStarts},
    {"3 processes, one crashes before its first sync", 3, FoundingFault::CrashesBeforeItsFirstSync},
    {"3 processes, one crashes", 3, FoundingFault::Crashes},
    {"3 processes, one loses its disk", 3, FoundingFault::LosesItsDisk},
    {"5 processes, one never starts", 5, FoundingFault::NeverStarts},
    {"5 processes, one crashes before its first sync", 5, FoundingFault::CrashesBeforeItsFirstSync},
    {"5 processes, one crashes", 5, FoundingFault::Crashes},
    {"5 processes, one loses its disk", 5, FoundingFault::LosesItsDisk},
};

// Starts a group in which one founding member has a fault, with its first events in random order.
void playFoundingFault(ControlGroup &group, const FoundingRow &row, const std::string &faulty)
{
    const auto crash = [&] {
        if (row.fault_ == FoundingFault::LosesItsDisk)
            group.replaceDisk(faulty);
        else
            group.crash(faulty);
    };
    if (row.fault_ == FoundingFault::NeverStarts)
        group.crash(faulty);
    if (row.fault_ == FoundingFault::CrashesBeforeItsFirstSync)
        group.replaceDisk(faulty);
    bool isRunning =
        row.fault_ == FoundingFault::Crashes || row.fault_ == FoundingFault::LosesItsDisk;
    const bool mayCrash = isRunning;
    for (int event = 0; event < 60; ++event) {
        const std::uint64_t choice = group.randomBelow(10);
        const std::string &name = group.names()[group.randomBelow(group.names().size())];
        if (choice < 4 && !group.messages().empty())
            group.deliver(group.randomBelow(group.messages().size()));
        else if (choice < 6)
            group.syncOldest(name);
        else if (choice < 9)
            group.advance(milliseconds(20 + group.randomBelow(200)));
        else if (mayCrash && isRunning)
            crash();
        else if (mayCrash)
            group.boot(faulty);
        if (choice == 9)
            isRunning = mayCrash && !isRunning;
    }
    if (row.fault_ != FoundingFault::NeverStarts && !isRunning)
        group.boot(faulty);
}

// Guards against a cluster that is never founded, or founded twice, since one of the founding
// members fails before, during or after the founding.
BOOST_DATA_TEST_CASE(one_cluster_is_founded_although_a_founding_member_fails,
                     data::make(foundingTable) * data::xrange(1, 31), row, seed)
{
    ControlGroup group(row.size_, static_cast<std::uint64_t>(seed));
    group.restartWithSeeds({"c1", "c2", "c3"});
    playFoundingFault(group, row, group.names()[group.randomBelow(3)]);
    group.run(seconds(5));
    BOOST_REQUIRE(!group.leader().empty());
    const std::uint64_t token = group.propose(document(1, "one"));
    group.run(seconds(2));
    BOOST_TEST((group.answers_[token].kind_ == OutcomeKind::Accepted));
    std::set<std::uint64_t> clusters;
    for (const std::string &name : group.names()) {
        const GroupMember &member = group.member(name);
        if (member.up_)
            clusters.insert(member.state_.consensus_.hardState_.cluster_);
    }
    BOOST_TEST(clusters.size() == 1u);
    BOOST_TEST(!clusters.contains(0));
}

BOOST_AUTO_TEST_CASE(blank_disks_after_the_first_start_bootstrap_no_cluster)
{
    ControlGroup group(3, 2);
    group.restartWithSeeds({"c1", "c2", "c3"});
    group.run(seconds(4));
    for (const std::string &name : group.names())
        group.replaceDisk(name);
    for (const std::string &name : group.names())
        group.boot(name);
    group.run(seconds(5));
    BOOST_TEST(group.leader().empty());
}

struct DocumentRow
{
    std::uint64_t version_;
    const char *text_;
    OutcomeKind outcome_;
    const char *inForce_; ///< document in force afterwards
};

std::ostream &operator<<(std::ostream &stream, const DocumentRow &row)
{
    return stream << "version " << row.version_ << " " << row.text_;
}

const DocumentRow documentTable[] = {
    {7, "other", OutcomeKind::Accepted, "other"}, // higher version
    {5, "five", OutcomeKind::Accepted, "five"}, // resend
    {5, "changed", OutcomeKind::Conflict, "five"}, // same version, other content
    {4, "four", OutcomeKind::Accepted, "five"}, // lower version
};

BOOST_DATA_TEST_CASE(document_with_the_highest_version_is_in_force, data::make(documentTable), row)
{
    FleetState state;
    LogEntry entry;
    entry.index_ = 2;
    entry.command_ = document(5, "five");
    apply(state, entry);
    entry.index_ = 3;
    entry.command_ = document(row.version_, row.text_);
    BOOST_TEST((apply(state, entry).kind_ == row.outcome_));
    BOOST_TEST(state.document_ == row.inForce_);
    BOOST_TEST(restoreFleetState(makeSnapshot(state)).document_ == row.inForce_);
}

Upstream directUpstream(const std::string &name, std::uint64_t boot, std::uint64_t sequence,
                        UpstreamPhase phase = UpstreamPhase::Serving)
{
    Upstream upstream;
    upstream.name_ = name;
    upstream.agentAddress_ = "10.0.0.1";
    upstream.agentPort_ = 80;
    upstream.agentBoot_ = boot;
    upstream.sequence_ = sequence;
    upstream.phase_ = phase;
    upstream.direct_ = true;
    return upstream;
}

BOOST_AUTO_TEST_CASE(late_announcements_change_nothing)
{
    FleetState state;
    LogEntry entry;
    const auto announce = [&](const Upstream &upstream) {
        ++entry.index_;
        entry.command_ = AnnounceUpstream{upstream};
        return apply(state, entry).kind_;
    };
    announce(directUpstream("a", 100, 1));
    announce(directUpstream("a", 100, 5, UpstreamPhase::Leaving));
    BOOST_TEST((announce(directUpstream("a", 100, 3)) == OutcomeKind::Conflict));
    BOOST_TEST((state.view_.upstreams_[0].phase_ == UpstreamPhase::Leaving));
    // An upstream that starts later takes over the address, which makes announcements of the
    // previous one outdated.
    announce(directUpstream("b", 200, 1));
    BOOST_REQUIRE(state.view_.upstreams_.size() == 1u);
    BOOST_TEST(state.view_.upstreams_[0].name_ == "b");
    BOOST_TEST((announce(directUpstream("a", 100, 9)) == OutcomeKind::Conflict));
    // An upstream that announced its departure is ignored until it restarts with a newer boot id.
    ++entry.index_;
    entry.command_ = RemoveUpstream{"b", 200, true};
    apply(state, entry);
    BOOST_TEST((announce(directUpstream("b", 200, 7)) == OutcomeKind::Conflict));
    BOOST_TEST((announce(directUpstream("b", 300, 1)) == OutcomeKind::Accepted));
}

// An announcement that changes nothing is answered at once, any other one after its commit.
BOOST_AUTO_TEST_CASE(departure_is_acknowledged_once_it_is_committed)
{
    ControlGroup group(3, 9);
    group.restartWithSeeds({"c1", "c2", "c3"});
    group.run(seconds(4));
    const std::string leader = group.leader();
    group.handle(leader, LocalAnnouncement{900, directUpstream("a", 100, 1)});
    BOOST_TEST(!group.answers_.contains(900));
    group.run(milliseconds(200));
    BOOST_REQUIRE(group.answers_.contains(900));
    group.handle(leader, LocalAnnouncement{901, directUpstream("a", 100, 2)});
    BOOST_TEST((group.answers_.at(901).kind_ == OutcomeKind::Accepted));
    for (const std::string &name : group.names()) {
        if (name != leader)
            group.crash(name);
    }
    group.handle(leader,
                 LocalAnnouncement{902, directUpstream("a", 100, 3, UpstreamPhase::Leaving)});
    group.advance(milliseconds(200));
    BOOST_TEST(!group.answers_.contains(902));
}

// Guards against a late announcement that lists a leaving upstream again whose lease has expired.
BOOST_AUTO_TEST_CASE(leaving_upstream_is_not_listed_again_after_its_lease)
{
    ControlGroup group(3, 9);
    group.restartWithSeeds({"c1", "c2", "c3"});
    group.run(seconds(4));
    const std::string leader = group.leader();
    group.handle(leader,
                 LocalAnnouncement{900, directUpstream("a", 100, 5, UpstreamPhase::Leaving)});
    group.run(seconds(4)); // longer than the lease
    const FleetState &fleet = group.member(leader).state_.fleet_;
    BOOST_REQUIRE(fleet.view_.upstreams_.empty());
    group.handle(leader, LocalAnnouncement{901, directUpstream("a", 100, 4)});
    group.run(milliseconds(200));
    BOOST_TEST(fleet.view_.upstreams_.empty());
    BOOST_TEST((group.answers_.at(901).kind_ == OutcomeKind::Accepted));
    group.handle(leader, LocalAnnouncement{902, directUpstream("a", 200, 1)});
    group.run(milliseconds(200));
    BOOST_TEST(fleet.view_.upstreams_.size() == 1u);
}

// Guards against upstreams that are removed when all control processes restart: the next leader is
// elected before it has applied the log, and knows no lease of those that it finds there.
BOOST_AUTO_TEST_CASE(upstreams_stay_listed_when_all_control_processes_restart)
{
    ControlGroup group(3, 9);
    group.restartWithSeeds({"c1", "c2", "c3"});
    group.run(seconds(4));
    group.handle(group.leader(), LocalAnnouncement{900, directUpstream("a", 100, 1)});
    group.run(milliseconds(200));
    for (const std::string &name : group.names())
        group.crash(name);
    for (const std::string &name : group.names())
        group.boot(name);
    BOOST_REQUIRE(group.runUntil(seconds(4), [&] {
        return !group.leader().empty() && leads(group.member(group.leader()).state_.consensus_);
    }));
    const FleetState &fleet = group.member(group.leader()).state_.fleet_;
    BOOST_TEST(fleet.view_.upstreams_.size() == 1u);
    group.run(seconds(2)); // less than the lease
    BOOST_TEST(fleet.view_.upstreams_.size() == 1u);
    group.run(seconds(2));
    BOOST_TEST(fleet.view_.upstreams_.empty());
}

// What an upstream does at a time after its departure.
struct AfterDeparture
{
    milliseconds time_;
    std::uint64_t sequence_; ///< of its announcement; 0: the departure arrives again
};

struct ReturnRow
{
    const char *description_;
    std::vector<AfterDeparture> events_;
    bool listed_; ///< the upstream is listed at the end
};

std::ostream &operator<<(std::ostream &stream, const ReturnRow &row)
{
    return stream << row.description_;
}

const ReturnRow returnTable[] = {
    {"goes on", {{milliseconds(600), 8}, {milliseconds(1800), 9}, {milliseconds(3000), 10}}, true},
    {"one late announcement", {{milliseconds(600), 8}}, false},
    {"late announcements at once",
     {{milliseconds(600), 8}, {milliseconds(700), 9}, {milliseconds(800), 10}},
     false},
    {"two late announcements", {{milliseconds(600), 8}, {milliseconds(3000), 9}}, false},
    {"late announcements in the opposite order",
     {{milliseconds(600), 10}, {milliseconds(1800), 9}, {milliseconds(3000), 8}},
     false},
    {"the same announcement again",
     {{milliseconds(600), 8}, {milliseconds(1800), 8}, {milliseconds(3000), 8}},
     false},
    {"departs again",
     {{milliseconds(600), 8},
      {milliseconds(1800), 9},
      {milliseconds(2000), 0},
      {milliseconds(3000), 10}},
     false},
};

// Guards against an upstream that is never listed again since a departure of its previous start has
// arrived late, and against late announcements after a departure that are taken for its return.
BOOST_DATA_TEST_CASE(upstream_that_goes_on_after_a_departure_is_listed_again,
                     data::make(returnTable), row)
{
    ControlGroup group(3, 9);
    group.restartWithSeeds({"c1", "c2", "c3"});
    group.run(seconds(4));
    const std::string leader = group.leader();
    std::uint64_t token = 900;
    const auto announce = [&](std::uint64_t sequence) {
        group.handle(leader, LocalAnnouncement{++token, directUpstream("a", 100, sequence)});
    };
    const auto depart = [&] {
        group.handle(leader, LocalProposal{++token, RemoveUpstream{"a", 100, true}});
    };
    announce(7);
    group.run(milliseconds(200));
    const FleetState &fleet = group.member(leader).state_.fleet_;
    BOOST_REQUIRE(fleet.view_.upstreams_.size() == 1u);
    depart();
    const Instant departedAt = group.now();
    for (const AfterDeparture &event : row.events_) {
        group.run(std::chrono::ceil<milliseconds>(departedAt + event.time_ - group.now()));
        if (event.sequence_ == 0)
            depart();
        else
            announce(event.sequence_);
    }
    group.run(milliseconds(200));
    BOOST_TEST(fleet.view_.upstreams_.empty() == !row.listed_);
    // The next departure counts again.
    depart();
    group.run(milliseconds(200));
    announce(20);
    group.run(milliseconds(200));
    BOOST_TEST(fleet.view_.upstreams_.empty());
}

} // namespace
