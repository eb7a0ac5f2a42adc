// Tests of detail/control/consensus.hpp and membership.hpp: elections, commits, snapshots,
// replacement of members.
#include "control_group.hpp"

#include "chervilspring/codec.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

// Runs a group with random faults. At the end, every replica must hold each proposal that was
// answered Accepted.
class Simulation
{
public:
    Simulation(int size, std::uint64_t seed) : group_(size, seed) { }

    /// @return number of proposals that were answered Accepted
    int run(int steps, bool replaceDisks)
    {
        group_.run(milliseconds(3000));
        for (int i = 0; i < steps; ++i)
            randomStep(replaceDisks);
        return finish();
    }

private:
    std::string anyName() { return group_.names()[group_.randomBelow(group_.names().size())]; }

    void randomStep(bool replaceDisks)
    {
        const std::uint64_t choice = group_.randomBelow(1000);
        if (choice < 500 && !group_.messages().empty())
            deliverRandom();
        else if (choice < 700)
            group_.syncOldest(anyName());
        else if (choice < 800)
            group_.advance(milliseconds(group_.randomBelow(60)));
        else if (choice < 930)
            proposeRandom();
        else if (choice < 950 && !group_.messages().empty())
            dropRandom();
        else if (choice < 953)
            restart(anyName());
        else if (choice < 956)
            group_.cut(anyName(), anyName());
        else if (choice < 962)
            group_.healAll();
        else if (choice < 964)
            group_.freeze(anyName());
        else if (choice < 965 && replaceDisks)
            replaceDisk();
        else if (choice >= 965 && choice < 967)
            group_.handle(anyName(), StopRequested{});
        for (const std::string &name : std::exchange(group_.stopped_, {}))
            restart(name);
    }

    // Delivers three of four messages in order, as a connection does, and the others out of order.
    void deliverRandom()
    {
        const bool inOrder = group_.randomBelow(4) != 0;
        group_.deliver(inOrder ? 0 : group_.randomBelow(group_.messages().size()));
    }

    void dropRandom()
    {
        auto &messages = group_.messages();
        messages.erase(messages.begin()
                       + static_cast<std::ptrdiff_t>(group_.randomBelow(messages.size())));
    }

    void restart(const std::string &name)
    {
        group_.crash(name);
        group_.boot(name);
    }

    // Waits before and after, since the group may lose a disk only if the last lost one has been
    // replaced.
    void replaceDisk()
    {
        group_.healAll();
        group_.run(milliseconds(6000));
        const std::string name = anyName();
        group_.replaceDisk(name);
        group_.boot(name);
        group_.run(milliseconds(6000));
    }

    void proposeRandom()
    {
        const std::string key = "key-" + std::to_string(nextKey_++);
        const std::uint64_t token = group_.propose(ReserveRecord{testRecord(key)});
        if (token != 0)
            keys_[token] = key;
    }

    int finish()
    {
        group_.healAll();
        for (const std::string &name : group_.names())
            restart(name);
        group_.run(milliseconds(12000));
        BOOST_REQUIRE(!group_.leader().empty());
        const std::uint64_t commitIndex =
            group_.member(group_.leader()).state_.consensus_.commitIndex_;
        int accepted = 0;
        for (const auto &[token, key] : keys_) {
            const auto answer = group_.answers_.find(token);
            if (answer == group_.answers_.end() || answer->second.kind_ != OutcomeKind::Accepted)
                continue;
            ++accepted;
            for (const std::string &name : group_.names()) {
                const auto &records = group_.member(name).state_.fleet_.records_;
                BOOST_REQUIRE_MESSAGE(records.contains(testRecord(key).key_),
                                      name << " lost " << key);
            }
        }
        for (const std::string &name : group_.names())
            BOOST_TEST(group_.member(name).state_.consensus_.commitIndex_ == commitIndex);
        return accepted;
    }

    ControlGroup group_;
    std::map<std::uint64_t, std::string> keys_;
    std::uint64_t nextKey_ = 1;
};

struct SimulationRow
{
    int size_; ///< number of control processes
    std::uint64_t firstSeed_;
    int seeds_; ///< number of seeds
    int steps_; ///< random steps for each seed
    bool replaceDisks_; ///< disks are lost and replaced
};
std::ostream &operator<<(std::ostream &out, const SimulationRow &row)
{
    return out << row.size_ << " members, seeds from " << row.firstSeed_
               << (row.replaceDisks_ ? ", disks replaced" : "");
}

const SimulationRow simulations[] = {
    {1, 100, 10, 4000, false}, {3, 200, 150, 4000, false}, {5, 300, 60, 12000, false},
    {3, 400, 100, 4000, true}, {5, 500, 40, 12000, true},
};

BOOST_DATA_TEST_CASE(accepted_proposals_survive_random_failures,
                     boost::unit_test::data::make(simulations), row)
{
    int accepted = 0;
    for (int i = 0; i < row.seeds_; ++i) {
        const std::uint64_t seed = row.firstSeed_ + static_cast<std::uint64_t>(i);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            accepted += Simulation(row.size_, seed).run(row.steps_, row.replaceDisks_);
        }
    }
    BOOST_TEST_MESSAGE("accepted proposals: " << accepted);
    BOOST_TEST(accepted > row.seeds_);
}

// A group that has elected a leader and is idle.
struct StableGroup
{
    explicit StableGroup(int size) : group_(size, 7) { group_.run(milliseconds(3000)); }
    ControlGroup group_;
};

BOOST_AUTO_TEST_CASE(blank_processes_bootstrap_one_cluster)
{
    StableGroup s(3);
    std::set<std::uint64_t> clusters;
    for (const std::string &name : s.group_.names())
        clusters.insert(s.group_.member(name).state_.consensus_.hardState_.cluster_);
    BOOST_TEST(clusters.size() == 1u);
    BOOST_TEST(!clusters.contains(0));
    BOOST_TEST(!s.group_.leader().empty());
}

BOOST_AUTO_TEST_CASE(leader_without_quorum_steps_down_and_fails_pending_calls)
{
    StableGroup s(3);
    const std::string old = s.group_.leader();
    for (const std::string &name : s.group_.names()) {
        s.group_.cut(old, name);
        s.group_.cut(name, old);
    }
    s.group_.handle(old, LocalRead{77});
    s.group_.handle(old, LocalProposal{78, ReserveRecord{testRecord("k")}});
    s.group_.run(milliseconds(3000));
    BOOST_TEST((s.group_.member(old).state_.consensus_.role_ != MemberRole::Leader));
    BOOST_TEST(!s.group_.readResults_[77]);
    BOOST_TEST((s.group_.answers_[78].kind_ == OutcomeKind::Unavailable));
    BOOST_TEST(s.group_.leader() != old);
}

BOOST_AUTO_TEST_CASE(one_way_cut_of_the_leader_is_noticed)
{
    StableGroup s(3);
    const std::string old = s.group_.leader();
    // The old leader can send but doesn't receive anything.
    for (const std::string &name : s.group_.names())
        s.group_.cut(name, old);
    s.group_.run(milliseconds(4000));
    BOOST_TEST((s.group_.member(old).state_.consensus_.role_ != MemberRole::Leader));
    BOOST_TEST(!s.group_.leader().empty());
}

BOOST_AUTO_TEST_CASE(frozen_leader_steps_down_before_it_does_anything)
{
    StableGroup s(3);
    const std::string old = s.group_.leader();
    s.group_.freeze(old);
    s.group_.run(milliseconds(5000));
    BOOST_REQUIRE(s.group_.leader() != old);
    s.group_.thaw(old);
    s.group_.handle(old, LocalProposal{79, ReserveRecord{testRecord("late")}});
    BOOST_TEST((s.group_.answers_[79].kind_ == OutcomeKind::NotLeader));
    BOOST_TEST((s.group_.member(old).state_.consensus_.role_ != MemberRole::Leader));
}

BOOST_AUTO_TEST_CASE(planned_stop_transfers_the_leadership)
{
    StableGroup s(3);
    const std::string old = s.group_.leader();
    const Instant before = s.group_.now();
    s.group_.handle(old, StopRequested{});
    s.group_.run(milliseconds(100));
    BOOST_TEST(s.group_.leader() != old);
    BOOST_TEST(!s.group_.leader().empty());
    BOOST_TEST((s.group_.now() - before <= milliseconds(200)));
}

// Guards against a stopping leader that offers the leadership to a process that has just crashed,
// and to no other.
BOOST_DATA_TEST_CASE(stopping_leader_offers_the_leadership_again,
                     boost::unit_test::data::xrange(0, 2), crashed)
{
    StableGroup s(3);
    const std::string old = s.group_.leader();
    std::vector<std::string> others = s.group_.names();
    std::erase(others, old);
    s.group_.crash(others[static_cast<std::size_t>(crashed)]);
    s.group_.handle(old, StopRequested{});
    s.group_.run(milliseconds(1500));
    BOOST_TEST(s.group_.leader() == others[static_cast<std::size_t>(1 - crashed)]);
}

struct FullDiskRow
{
    const char *name_;
    bool leader_; ///< the leader's disk is full
    int followers_; ///< number of followers with a full disk
    bool accepted_; ///< a majority can still store a proposal
    bool keepsLeader_; ///< the leader still hears from a majority
};
std::ostream &operator<<(std::ostream &out, const FullDiskRow &row)
{
    return out << row.name_;
}

const FullDiskRow fullDiskTable[] = {
    {"leader", true, 0, true, true},
    {"one follower", false, 1, true, true},
    {"leader and one follower", true, 1, false, true},
    {"both followers", false, 2, false, false},
};

// A member whose disk is full goes on, but neither acknowledges entries nor votes until there is
// space again.
BOOST_DATA_TEST_CASE(full_disks_delay_a_proposal_only_without_a_majority,
                     boost::unit_test::data::make(fullDiskTable), row)
{
    StableGroup s(3);
    const std::string leader = s.group_.leader();
    int followers = 0;
    for (const std::string &name : s.group_.names()) {
        if (name == leader ? row.leader_ : followers++ < row.followers_)
            s.group_.stallDisk(name);
    }
    const std::uint64_t token = s.group_.propose(ReserveRecord{testRecord("during")});
    s.group_.run(milliseconds(5000));
    BOOST_TEST((s.group_.answers_[token].kind_ == OutcomeKind::Accepted) == row.accepted_);
    const auto isStored = [&](const std::string &name) {
        const auto &entries = s.group_.member(name).disk_.synced_.entries_;
        return std::any_of(entries.begin(), entries.end(), [](const LogEntry &entry) {
            return std::holds_alternative<ReserveRecord>(entry.command_);
        });
    };
    const auto stored = std::count_if(s.group_.names().begin(), s.group_.names().end(), isStored);
    BOOST_TEST(stored == 3 - row.followers_ - (row.leader_ ? 1 : 0));
    BOOST_TEST((s.group_.leader() == leader) == row.keepsLeader_);
    for (const std::string &name : s.group_.names())
        s.group_.resumeDisk(name);
    s.group_.run(milliseconds(5000));
    const std::uint64_t later = s.group_.propose(ReserveRecord{testRecord("after")});
    s.group_.run(milliseconds(500));
    BOOST_TEST((s.group_.answers_[later].kind_ == OutcomeKind::Accepted));
}

struct StopRow
{
    int size_; ///< number of control processes
    bool cut_; ///< the leader reaches no other process
    OutcomeKind proposal_; ///< outcome of a proposal that is pending at the stop request
};
std::ostream &operator<<(std::ostream &out, const StopRow &row)
{
    return out << row.size_ << " members" << (row.cut_ ? ", leader cut off" : "");
}

const StopRow stopTable[] = {
    {1, false, OutcomeKind::Accepted},
    {3, false, OutcomeKind::Accepted},
    {5, false, OutcomeKind::Accepted},
    {3, true, OutcomeKind::Unavailable},
};

// Guards against a leader that ends while proposals or reads wait for it, without an answer and
// without a successor.
BOOST_DATA_TEST_CASE(planned_stop_answers_pending_calls_first,
                     boost::unit_test::data::make(stopTable), row)
{
    StableGroup s(row.size_);
    const std::string old = s.group_.leader();
    for (const std::string &name : s.group_.names()) {
        if (row.cut_)
            s.group_.cut(old, name);
    }
    const Instant before = s.group_.now();
    s.group_.handle(old, LocalRead{77});
    s.group_.handle(old, LocalProposal{78, ReserveRecord{testRecord("pending")}});
    s.group_.handle(old, StopRequested{});
    while (!s.group_.stopped_.contains(old) && s.group_.now() - before < seconds(4))
        s.group_.run(milliseconds(50));
    BOOST_TEST((s.group_.now() - before <= milliseconds(2050)));
    BOOST_TEST(s.group_.stopped_.contains(old));
    BOOST_REQUIRE(s.group_.answers_.contains(78));
    BOOST_TEST((s.group_.answers_[78].kind_ == row.proposal_));
    BOOST_REQUIRE(s.group_.readResults_.contains(77));
    BOOST_TEST(s.group_.readResults_[77] == !row.cut_);
    s.group_.crash(old);
    if (row.size_ == 1)
        return;
    s.group_.run(milliseconds(row.cut_ ? 4000 : 100));
    BOOST_TEST(!s.group_.leader().empty());
}

// Guards against a redirect of the caller to the process that is about to end.
BOOST_AUTO_TEST_CASE(command_after_a_stop_request_is_refused_without_naming_the_process)
{
    StableGroup s(3);
    const std::string old = s.group_.leader();
    s.group_.handle(old, StopRequested{});
    s.group_.handle(old, LocalProposal{78, ReserveRecord{testRecord("late")}});
    BOOST_REQUIRE(s.group_.answers_.contains(78));
    BOOST_TEST((s.group_.answers_[78].kind_ == OutcomeKind::NotLeader));
    BOOST_TEST(s.group_.answerLeaders_[78] == "");
}

BOOST_AUTO_TEST_CASE(stopping_process_stands_for_no_election)
{
    StableGroup s(3);
    const std::string old = s.group_.leader();
    std::string stopping;
    for (const std::string &name : s.group_.names())
        stopping = name == old ? stopping : name;
    s.group_.handle(stopping, StopRequested{});
    s.group_.crash(old);
    s.group_.run(milliseconds(5000));
    BOOST_TEST(!s.group_.leader().empty());
    BOOST_TEST(s.group_.leader() != stopping);
    BOOST_TEST((s.group_.member(stopping).state_.consensus_.role_ == MemberRole::Follower));
}

BOOST_AUTO_TEST_CASE(second_vm_lost_right_after_a_repair)
{
    StableGroup s(3);
    const std::uint64_t token = s.group_.propose(ReserveRecord{testRecord("kept")});
    s.group_.run(milliseconds(500));
    BOOST_REQUIRE((s.group_.answers_[token].kind_ == OutcomeKind::Accepted));
    const std::string first = s.group_.leader();
    s.group_.replaceDisk(first);
    s.group_.boot(first);
    s.group_.run(milliseconds(6000));
    // The replacement is a voter now; lose a second disk immediately.
    const std::string second = s.group_.leader();
    BOOST_REQUIRE(second != first);
    s.group_.replaceDisk(second);
    s.group_.run(milliseconds(6000));
    BOOST_REQUIRE(!s.group_.leader().empty());
    const auto &fleet = s.group_.member(s.group_.leader()).state_.fleet_;
    BOOST_TEST(fleet.records_.contains(testRecord("kept").key_));
}

BOOST_AUTO_TEST_CASE(blank_disk_under_an_old_name_is_a_new_member)
{
    StableGroup s(3);
    const std::string name = s.group_.leader() == "c3" ? "c2" : "c3";
    const std::uint64_t oldId = s.group_.member(name).disk_.synced_.memberId_;
    s.group_.replaceDisk(name);
    s.group_.boot(name);
    s.group_.run(milliseconds(6000));
    const auto &list = members(s.group_.member(s.group_.leader()).state_.consensus_);
    BOOST_TEST(list.size() == 3u);
    for (const Member &member : list) {
        BOOST_TEST(member.id_ != oldId);
        BOOST_TEST(member.voter_);
    }
}

// Each read starts a heartbeat round and so postpones the next one. Guards against the membership
// check depending on that timer: under constant reads, the leader then never replaced a member.
BOOST_AUTO_TEST_CASE(constant_reads_do_not_delay_member_replacement)
{
    StableGroup s(3);
    const std::string lost = s.group_.leader() == "c3" ? "c2" : "c3";
    s.group_.replaceDisk(lost);
    s.group_.boot(lost);
    for (std::uint64_t i = 0; i < 200; ++i) {
        s.group_.handle(s.group_.leader(), LocalRead{1000 + i});
        s.group_.run(milliseconds(50));
    }
    const auto &list = members(s.group_.member(s.group_.leader()).state_.consensus_);
    BOOST_TEST(list.size() == 3u);
    for (const Member &member : list) {
        const std::uint64_t disk = s.group_.member(member.name_).disk_.synced_.memberId_;
        BOOST_TEST(member.id_ == disk);
    }
}

// An entry of an older term must not be committed by counting replicas, only together with an entry
// of the leader's own term (section 5.4.2 of the Raft paper).
BOOST_AUTO_TEST_CASE(older_term_is_not_committed_by_counting)
{
    StableGroup s(3);
    const std::string old = s.group_.leader();
    const std::string other = old == "c1" ? "c2" : "c1";
    // Make an entry durable on one follower only, so that it is not committed, and let that
    // follower become the next leader.
    s.group_.propose(ReserveRecord{testRecord("older")});
    auto &messages = s.group_.messages();
    std::erase_if(messages, [&](const GroupMessage &m) { return m.to_ != other; });
    while (!messages.empty())
        s.group_.deliver(0);
    while (!s.group_.member(other).disk_.unsynced_.empty())
        s.group_.syncOldest(other);
    s.group_.crash(old);
    messages.clear();
    ConsensusState &next = s.group_.member(other).state_.consensus_;
    const std::uint64_t olderIndex = lastIndex(next);
    for (int i = 0; i < 200 && next.role_ != MemberRole::Leader; ++i)
        s.group_.run(milliseconds(20));
    BOOST_REQUIRE((next.role_ == MemberRole::Leader));
    BOOST_REQUIRE(next.termStartIndex_ > olderIndex);
    // Reset the leader to the state before any follower stored the Noop of its term.
    next.commitIndex_ = olderIndex - 1;
    next.appliedIndex_ = olderIndex - 1;
    const std::string third =
        old == "c3" || other == "c3" ? (old == "c2" || other == "c2" ? "c1" : "c2") : "c3";
    const std::uint64_t thirdId = s.group_.member(third).disk_.synced_.memberId_;
    next.progress_[thirdId].matchIndex_ = 0;
    AppendReply reply;
    reply.cluster_ = next.hardState_.cluster_;
    reply.term_ = next.hardState_.term_;
    reply.member_ = thirdId;
    reply.success_ = true;
    reply.match_ = olderIndex;
    ConsensusOutput output;
    step(next, s.group_.now(), third, reply, output);
    BOOST_TEST(next.commitIndex_ == olderIndex - 1);
    reply.match_ = next.termStartIndex_;
    step(next, s.group_.now(), third, reply, output);
    BOOST_TEST(next.commitIndex_ >= next.termStartIndex_);
}

BOOST_AUTO_TEST_CASE(learner_replaces_a_silent_voter)
{
    ControlGroup group(6, 11);
    group.run(milliseconds(3000));
    const auto isVoter = [&](const std::string &name) {
        for (const Member &member : members(group.member(group.leader()).state_.consensus_)) {
            if (member.name_ == name)
                return member.voter_;
        }
        return false;
    };
    BOOST_TEST(!isVoter("c6"));
    const std::string lost = group.leader() == "c2" ? "c3" : "c2";
    group.crash(lost);
    group.run(milliseconds(12000));
    BOOST_TEST(isVoter("c6"));
    BOOST_TEST(!isVoter(lost));
}

BOOST_AUTO_TEST_CASE(member_far_behind_gets_a_snapshot)
{
    StableGroup s(3);
    const std::string laggard = s.group_.leader() == "c1" ? "c2" : "c1";
    s.group_.crash(laggard);
    for (int i = 0; i < 300; ++i) {
        s.group_.propose(ReserveRecord{testRecord("k" + std::to_string(i))});
        s.group_.run(milliseconds(50));
    }
    s.group_.boot(laggard);
    s.group_.run(milliseconds(5000));
    BOOST_TEST(s.group_.member(laggard).state_.fleet_.records_.size() == 300u);
    BOOST_TEST(s.group_.member(laggard).state_.consensus_.log_.size() < 100u);
}

struct LargeEntryRow
{
    const char *description_;
    int count_;
    Command command_;
};

std::ostream &operator<<(std::ostream &stream, const LargeEntryRow &row)
{
    return stream << row.description_;
}

std::vector<LargeEntryRow> largeEntryRows()
{
    CompleteRecord answer;
    answer.body_ = std::string(1u << 20, 'a');
    return {{"documents of 12 MB", 8, ApplyDocument{1, std::string(12u << 20, 'd'), Fleet{}}},
            {"answers of 1 MB", 90, answer}};
}

// Peers close the connection at a larger frame, and the leader sent the same one again.
BOOST_DATA_TEST_CASE(entries_for_a_member_that_lags_fit_into_frames, data::make(largeEntryRows()),
                     row)
{
    ControlGroup group(3, 5, 1000, 1u << 30); // the log keeps all entries
    group.run(milliseconds(3000));
    const std::string laggard = group.leader() == "c1" ? "c2" : "c1";
    group.crash(laggard);
    for (int i = 0; i < row.count_; ++i) {
        Command command = row.command_;
        if (auto *document = std::get_if<ApplyDocument>(&command))
            document->documentVersion_ = static_cast<std::uint64_t>(i) + 1;
        group.propose(command);
        group.run(milliseconds(50));
    }
    const std::uint64_t last = lastIndex(group.member(group.leader()).state_.consensus_);
    group.boot(laggard);
    std::size_t largest = 0;
    for (int i = 0; i < 400; ++i) {
        group.advance(milliseconds(10));
        while (!group.messages().empty()) {
            const Message &message = group.messages().front().message_;
            if (std::holds_alternative<AppendRequest>(message))
                largest = std::max(largest, encodeMessage(message).size());
            group.deliver(0);
        }
        for (const std::string &name : group.names())
            group.syncOldest(name);
    }
    BOOST_TEST(largest > 1u << 20);
    BOOST_TEST(largest <= maxFrameBytes);
    BOOST_TEST(lastIndex(group.member(laggard).state_.consensus_) >= last);
}

} // namespace
