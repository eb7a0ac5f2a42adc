// Covers detail/control/consensus.hpp and membership.hpp: elections, commits, snapshots, repair.
#include "control_group.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace {

using namespace chervilspring;

// Proposals that were answered Accepted have to be in every replica at the end.
class Session
{
public:
    Session(int size, std::uint64_t seed) : group_(size, seed) { }

    /// @return number of proposals that were answered Accepted
    int run(int steps, bool replaceDisks)
    {
        group_.settle(milliseconds(3000));
        for (int i = 0; i < steps; ++i)
            randomStep(replaceDisks);
        return finish();
    }

private:
    std::string anyName() { return group_.names()[group_.pick(group_.names().size())]; }

    void randomStep(bool replaceDisks)
    {
        const std::uint64_t dice = group_.pick(1000);
        if (dice < 500 && !group_.messages().empty())
            deliverRandom();
        else if (dice < 700)
            group_.syncOldest(anyName());
        else if (dice < 800)
            group_.advance(milliseconds(group_.pick(60)));
        else if (dice < 930)
            proposeRandom();
        else if (dice < 950 && !group_.messages().empty())
            dropRandom();
        else if (dice < 953)
            restart(anyName());
        else if (dice < 956)
            group_.cut(anyName(), anyName());
        else if (dice < 962)
            group_.healAll();
        else if (dice < 964)
            group_.freeze(anyName());
        else if (dice < 965 && replaceDisks)
            replaceDisk();
    }

    // Mostly in order, as on a connection; sometimes not.
    void deliverRandom()
    {
        const bool inOrder = group_.pick(4) != 0;
        group_.deliver(inOrder ? 0 : group_.pick(group_.messages().size()));
    }

    void dropRandom()
    {
        auto &messages = group_.messages();
        messages.erase(messages.begin()
                       + static_cast<std::ptrdiff_t>(group_.pick(messages.size())));
    }

    void restart(const std::string &name)
    {
        group_.crash(name);
        group_.boot(name);
    }

    // A second disk may only be lost once the first has been replaced.
    void replaceDisk()
    {
        group_.healAll();
        group_.settle(milliseconds(6000));
        const std::string name = anyName();
        group_.blankDisk(name);
        group_.boot(name);
        group_.settle(milliseconds(6000));
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
        group_.settle(milliseconds(12000));
        BOOST_REQUIRE(!group_.leader().empty());
        const std::uint64_t version = group_.member(group_.leader()).state_.consensus_.commit_;
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
            BOOST_TEST(group_.member(name).state_.consensus_.commit_ == version);
        return accepted;
    }

    ControlGroup group_;
    std::map<std::uint64_t, std::string> keys_;
    std::uint64_t nextKey_ = 1;
};

struct SessionRow
{
    int size_;
    std::uint64_t firstSeed_;
    int seeds_;
    int steps_;
    bool replaceDisks_;
};
std::ostream &operator<<(std::ostream &out, const SessionRow &row)
{
    return out << row.size_ << " members, seeds from " << row.firstSeed_
               << (row.replaceDisks_ ? ", disks replaced" : "");
}

const SessionRow sessions[] = {
    {1, 100, 10, 4000, false}, {3, 200, 150, 4000, false}, {5, 300, 60, 12000, false},
    {3, 400, 100, 4000, true}, {5, 500, 40, 12000, true},
};

BOOST_DATA_TEST_CASE(random_sessions_lose_nothing, boost::unit_test::data::make(sessions), row)
{
    int accepted = 0;
    for (int i = 0; i < row.seeds_; ++i) {
        const std::uint64_t seed = row.firstSeed_ + static_cast<std::uint64_t>(i);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            accepted += Session(row.size_, seed).run(row.steps_, row.replaceDisks_);
        }
    }
    BOOST_TEST_MESSAGE("accepted proposals: " << accepted);
    BOOST_TEST(accepted > row.seeds_);
}

struct Settled
{
    explicit Settled(int size) : group_(size, 7) { group_.settle(milliseconds(3000)); }
    ControlGroup group_;
};

BOOST_AUTO_TEST_CASE(blank_processes_found_one_cluster)
{
    Settled s(3);
    std::set<std::uint64_t> clusters;
    for (const std::string &name : s.group_.names())
        clusters.insert(s.group_.member(name).state_.consensus_.hard_.cluster_);
    BOOST_TEST(clusters.size() == 1u);
    BOOST_TEST(!clusters.contains(0));
    BOOST_TEST(!s.group_.leader().empty());
}

BOOST_AUTO_TEST_CASE(leader_without_quorum_steps_down_and_answers_nothing)
{
    Settled s(3);
    const std::string old = s.group_.leader();
    for (const std::string &name : s.group_.names()) {
        s.group_.cut(old, name);
        s.group_.cut(name, old);
    }
    s.group_.handle(old, LocalRead{77});
    s.group_.handle(old, LocalProposal{78, ReserveRecord{testRecord("k")}});
    s.group_.settle(milliseconds(3000));
    BOOST_TEST((s.group_.member(old).state_.consensus_.role_ != MemberRole::Leader));
    BOOST_TEST(!s.group_.reads_[77]);
    BOOST_TEST((s.group_.answers_[78].kind_ == OutcomeKind::Unavailable));
    BOOST_TEST(s.group_.leader() != old);
}

BOOST_AUTO_TEST_CASE(one_way_cut_of_the_leader_is_noticed)
{
    Settled s(3);
    const std::string old = s.group_.leader();
    // It can send, but hears nothing.
    for (const std::string &name : s.group_.names())
        s.group_.cut(name, old);
    s.group_.settle(milliseconds(4000));
    BOOST_TEST((s.group_.member(old).state_.consensus_.role_ != MemberRole::Leader));
    BOOST_TEST(!s.group_.leader().empty());
}

BOOST_AUTO_TEST_CASE(frozen_leader_steps_down_before_it_does_anything)
{
    Settled s(3);
    const std::string old = s.group_.leader();
    s.group_.freeze(old);
    s.group_.settle(milliseconds(5000));
    BOOST_REQUIRE(s.group_.leader() != old);
    s.group_.thaw(old);
    s.group_.handle(old, LocalProposal{79, ReserveRecord{testRecord("late")}});
    BOOST_TEST((s.group_.answers_[79].kind_ == OutcomeKind::NotLeader));
    BOOST_TEST((s.group_.member(old).state_.consensus_.role_ != MemberRole::Leader));
}

BOOST_AUTO_TEST_CASE(planned_stop_hands_the_leadership_over)
{
    Settled s(3);
    const std::string old = s.group_.leader();
    const Instant before = s.group_.now();
    s.group_.handle(old, StopRequested{});
    s.group_.settle(milliseconds(100));
    BOOST_TEST(s.group_.leader() != old);
    BOOST_TEST(!s.group_.leader().empty());
    BOOST_TEST((s.group_.now() - before <= milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(second_vm_lost_right_after_a_repair)
{
    Settled s(3);
    const std::uint64_t token = s.group_.propose(ReserveRecord{testRecord("kept")});
    s.group_.settle(milliseconds(500));
    BOOST_REQUIRE((s.group_.answers_[token].kind_ == OutcomeKind::Accepted));
    const std::string first = s.group_.leader();
    s.group_.blankDisk(first);
    s.group_.boot(first);
    s.group_.settle(milliseconds(6000));
    // The replacement votes now; lose another disk at once.
    const std::string second = s.group_.leader();
    BOOST_REQUIRE(second != first);
    s.group_.blankDisk(second);
    s.group_.settle(milliseconds(6000));
    BOOST_REQUIRE(!s.group_.leader().empty());
    const auto &fleet = s.group_.member(s.group_.leader()).state_.fleet_;
    BOOST_TEST(fleet.records_.contains(testRecord("kept").key_));
}

BOOST_AUTO_TEST_CASE(blank_disk_under_an_old_name_is_a_new_member)
{
    Settled s(3);
    const std::string name = s.group_.leader() == "c3" ? "c2" : "c3";
    const std::uint64_t oldId = s.group_.member(name).disk_.synced_.memberId_;
    s.group_.blankDisk(name);
    s.group_.boot(name);
    s.group_.settle(milliseconds(6000));
    const auto &list = members(s.group_.member(s.group_.leader()).state_.consensus_);
    BOOST_TEST(list.size() == 3u);
    for (const Member &member : list) {
        BOOST_TEST(member.id_ != oldId);
        BOOST_TEST(member.voter_);
    }
}

// Constant reads once kept the leader from ever looking at the membership.
BOOST_AUTO_TEST_CASE(constant_reads_do_not_hold_up_the_repair)
{
    Settled s(3);
    const std::string lost = s.group_.leader() == "c3" ? "c2" : "c3";
    s.group_.blankDisk(lost);
    s.group_.boot(lost);
    for (std::uint64_t i = 0; i < 200; ++i) {
        s.group_.handle(s.group_.leader(), LocalRead{1000 + i});
        s.group_.settle(milliseconds(50));
    }
    const auto &list = members(s.group_.member(s.group_.leader()).state_.consensus_);
    BOOST_TEST(list.size() == 3u);
    for (const Member &member : list) {
        const std::uint64_t disk = s.group_.member(member.name_).disk_.synced_.memberId_;
        BOOST_TEST(member.id_ == disk);
    }
}

// An entry of an older term commits only together with one of the leader's own term.
BOOST_AUTO_TEST_CASE(older_term_is_not_committed_by_counting)
{
    Settled s(3);
    const std::string old = s.group_.leader();
    const std::string other = old == "c1" ? "c2" : "c1";
    // An entry reaches the disk of one follower only, uncommitted; that follower leads next.
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
        s.group_.settle(milliseconds(20));
    BOOST_REQUIRE((next.role_ == MemberRole::Leader));
    BOOST_REQUIRE(next.termStart_ > olderIndex);
    // Put the leader back to the moment before anybody stored its own entry.
    next.commit_ = olderIndex - 1;
    next.applied_ = olderIndex - 1;
    const std::string third =
        old == "c3" || other == "c3" ? (old == "c2" || other == "c2" ? "c1" : "c2") : "c3";
    const std::uint64_t thirdId = s.group_.member(third).disk_.synced_.memberId_;
    next.progress_[thirdId].match_ = 0;
    AppendReply reply;
    reply.cluster_ = next.hard_.cluster_;
    reply.term_ = next.hard_.term_;
    reply.member_ = thirdId;
    reply.success_ = true;
    reply.match_ = olderIndex;
    ConsensusOutput output;
    step(next, s.group_.now(), third, reply, output);
    BOOST_TEST(next.commit_ == olderIndex - 1);
    reply.match_ = next.termStart_;
    step(next, s.group_.now(), third, reply, output);
    BOOST_TEST(next.commit_ >= next.termStart_);
}

BOOST_AUTO_TEST_CASE(spare_replaces_a_silent_voter)
{
    ControlGroup group(6, 11);
    group.settle(milliseconds(3000));
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
    group.settle(milliseconds(12000));
    BOOST_TEST(isVoter("c6"));
    BOOST_TEST(!isVoter(lost));
}

BOOST_AUTO_TEST_CASE(member_far_behind_gets_a_snapshot)
{
    Settled s(3);
    const std::string behind = s.group_.leader() == "c1" ? "c2" : "c1";
    s.group_.crash(behind);
    for (int i = 0; i < 300; ++i) {
        s.group_.propose(ReserveRecord{testRecord("k" + std::to_string(i))});
        s.group_.settle(milliseconds(50));
    }
    s.group_.boot(behind);
    s.group_.settle(milliseconds(5000));
    BOOST_TEST(s.group_.member(behind).state_.fleet_.records_.size() == 300u);
    BOOST_TEST(s.group_.member(behind).state_.consensus_.log_.size() < 100u);
}

} // namespace
