// Tests of which members of an open group count as voters: replaced machines, lost disks, members
// that are only down.
#include "control_group.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

constexpr auto catchUpTime = seconds(4); // enough for a process that joins to become a voter
constexpr auto downTime = milliseconds(700); // of a process whose disk is lost
constexpr auto recoveryTime = seconds(10);

struct GroupRow
{
    int size_; ///< voters at the beginning
    int losses_; ///< members that may lose their disks at once
};

std::ostream &operator<<(std::ostream &stream, const GroupRow &row)
{
    return stream << row.size_ << " voters";
}

const GroupRow groupTable[] = {{3, 1}, {5, 2}, {7, 3}};

ApplyDocument document(std::uint64_t version)
{
    ApplyDocument command;
    command.documentVersion_ = version;
    command.document_ = "version " + std::to_string(version);
    return command;
}

// Founds a group of a size from three seeds.
std::unique_ptr<ControlGroup> foundGroup(int size, int seed)
{
    auto group = std::make_unique<ControlGroup>(size, static_cast<std::uint64_t>(seed));
    group->restartWithSeeds({"c1", "c2", "c3"});
    group->run(seconds(5));
    BOOST_REQUIRE(group->voterNames().size() == static_cast<std::size_t>(size));
    return group;
}

// Returns the running members, the leader first or last.
std::vector<std::string> runningMembers(ControlGroup &group, bool leaderFirst)
{
    std::vector<std::string> running;
    const std::string leader = group.leader();
    for (const std::string &name : group.names()) {
        if (group.member(name).up_ && name != leader)
            running.push_back(name);
    }
    running.insert(leaderFirst ? running.begin() : running.end(), leader);
    return running;
}

// Replaces the disks of members at the same moment and starts their processes again.
void loseDisks(ControlGroup &group, const std::vector<std::string> &names)
{
    for (const std::string &name : names)
        group.replaceDisk(name);
    group.run(downTime);
    for (const std::string &name : names)
        group.boot(name);
}

void requireAccepted(ControlGroup &group, std::uint64_t version)
{
    const std::uint64_t token = group.propose(document(version));
    group.run(seconds(1));
    BOOST_REQUIRE((group.answers_[token].kind_ == OutcomeKind::Accepted));
}

void requireKept(ControlGroup &group, std::uint64_t version)
{
    group.run(recoveryTime);
    BOOST_REQUIRE(!group.leader().empty());
    const FleetState &fleet = group.member(group.leader()).state_.fleet_;
    BOOST_TEST(fleet.documentVersion_ == version);
    requireAccepted(group, version + 1);
}

// Guards against machines that were replaced as planned, their successors first, and count as
// voters for ever: the disks that the group may lose at once then end it.
BOOST_DATA_TEST_CASE(replaced_machines_stop_counting_as_voters,
                     data::make(groupTable) * data::xrange(1, 11), row, seed)
{
    const auto group = foundGroup(row.size_, seed);
    for (int i = 0; i < row.losses_; ++i)
        group->addProcess("new" + std::to_string(i), {"c1", "c2", "c3"});
    group->run(catchUpTime);
    const auto old = runningMembers(*group, seed % 2 == 0);
    for (int i = 0; i < row.losses_; ++i)
        group->crash(old[static_cast<std::size_t>(i)]);
    group->run(catchUpTime);
    requireAccepted(*group, 3);
    auto lost = runningMembers(*group, true);
    BOOST_REQUIRE(lost.size() == static_cast<std::size_t>(row.size_));
    lost.resize(static_cast<std::size_t>(row.losses_));
    loseDisks(*group, lost);
    requireKept(*group, 3);
}

// Guards against a voter that is only down and loses its vote while another disk is replaced: when
// it returns, it can't help those that still have the log.
BOOST_DATA_TEST_CASE(voter_that_is_down_keeps_its_vote_while_a_disk_is_replaced,
                     data::make({GroupRow{5, 2}, GroupRow{7, 3}}) * data::xrange(1, 11), row, seed)
{
    const auto group = foundGroup(row.size_, seed);
    auto others = runningMembers(*group, true);
    std::vector<std::string> down;
    for (int i = 0; i + 1 < row.losses_; ++i) {
        down.push_back(others.back());
        others.pop_back();
        group->crash(down.back());
    }
    group->run(catchUpTime);
    const std::string replaced = others.back();
    others.pop_back();
    loseDisks(*group, {replaced});
    group->run(catchUpTime);
    requireAccepted(*group, 3);
    std::erase(others, group->leader());
    others.insert(others.begin(), group->leader());
    others.resize(static_cast<std::size_t>(row.losses_));
    for (const std::string &name : down)
        group->boot(name);
    loseDisks(*group, others);
    requireKept(*group, 3);
}

// Guards against a machine that has left in order, when its successor votes, and counts as a voter
// until its silence is noticed: disks that are lost meanwhile end the group.
BOOST_DATA_TEST_CASE(machine_that_has_left_in_order_counts_no_longer,
                     data::make(groupTable) * data::xrange(1, 11), row, seed)
{
    const auto group = foundGroup(row.size_, seed);
    for (int i = 0; i < row.losses_; ++i)
        group->addProcess("new" + std::to_string(i), {"c1", "c2", "c3"});
    group->run(catchUpTime);
    requireAccepted(*group, 3);
    const auto old = runningMembers(*group, seed % 2 == 0);
    for (int i = 0; i < row.losses_; ++i)
        group->stop(old[static_cast<std::size_t>(i)]);
    auto lost = runningMembers(*group, true);
    lost.resize(static_cast<std::size_t>(row.losses_));
    loseDisks(*group, lost);
    requireKept(*group, 3);
}

enum class LossKind : std::uint8_t {
    Separate, ///< never more members are lost at once than the group bears; machines are replaced
    Overlapping, ///< any number of members is down; no more disks are lost than the group bears
};

std::ostream &operator<<(std::ostream &stream, LossKind kind)
{
    return stream << (kind == LossKind::Separate ? "separate" : "overlapping");
}

// Plays losses at random that a group has to bear.
class RandomLosses
{
public:
    RandomLosses(ControlGroup &group, int size, LossKind kind)
        : group_(group), kind_(kind), limit_(static_cast<std::size_t>(size / 2))
    {
        for (const std::string &name : group.names())
            machines_[name] = Machine{};
    }

    void playEvent()
    {
        run(milliseconds(100 * (1 + group_.randomBelow(25))));
        switch (group_.randomBelow(kind_ == LossKind::Separate ? 5 : 4)) {
        case 0:
            proposeDocument();
            break;
        case 1:
            if (kind_ == LossKind::Overlapping || lostCount(false) < limit_)
                lose(false);
            break;
        case 2:
        case 3:
            if (lostCount(kind_ == LossKind::Overlapping) < limit_)
                lose(true);
            break;
        default:
            if (!leaving_.empty())
                removeMachine();
            else if (lostCount(false) < limit_)
                addSuccessor();
            break;
        }
    }

    // Starts all machines, and checks that the group goes on with what it has accepted.
    void recover()
    {
        for (auto &[name, machine] : machines_)
            machine.down_ = std::min(machine.down_, milliseconds(100));
        run(recoveryTime);
        BOOST_REQUIRE(!group_.leader().empty());
        const FleetState &fleet = group_.member(group_.leader()).state_.fleet_;
        for (const auto &[token, version] : proposed_) {
            if (group_.answers_[token].kind_ == OutcomeKind::Accepted)
                BOOST_TEST(fleet.documentVersion_ >= version);
        }
        requireAccepted(group_, proposed_.size() + 1);
        BOOST_TEST(group_.voterNames().size() >= 2 * limit_ + 1);
    }

private:
    struct Machine
    {
        milliseconds down_{0}; ///< time until it starts again; 0: it runs
        milliseconds catchUp_{0}; ///< time beside a leader until it counts as back
        bool diskLost_ = false; ///< until it counts as back
    };

    // Lets time pass; starts the machines that are due.
    void run(milliseconds time)
    {
        constexpr auto step = milliseconds(100);
        for (; time > milliseconds(0); time -= step) {
            group_.run(step);
            for (auto &[name, machine] : machines_)
                advance(name, machine, step);
        }
    }

    void advance(const std::string &name, Machine &machine, milliseconds step)
    {
        if (machine.down_ > milliseconds(0)) {
            machine.down_ -= step;
            if (machine.down_ == milliseconds(0))
                group_.boot(name, someSeeds());
        } else if (machine.catchUp_ > milliseconds(0) && !group_.leader().empty()) {
            machine.catchUp_ -= step;
            machine.diskLost_ = machine.diskLost_ && machine.catchUp_ > milliseconds(0);
        }
    }

    std::vector<std::string> someSeeds() const
    {
        std::vector<std::string> seeds;
        for (const auto &[name, machine] : machines_) {
            if (machine.down_ == milliseconds(0) && seeds.size() < 3)
                seeds.push_back(name);
        }
        return seeds;
    }

    std::size_t lostCount(bool disksOnly) const
    {
        return static_cast<std::size_t>(
            std::count_if(machines_.begin(), machines_.end(), [&](const auto &item) {
                return item.second.diskLost_
                    || (!disksOnly && item.second.catchUp_ > milliseconds(0));
            }));
    }

    // Returns a random running machine that isn't about to leave; empty if there is none.
    std::string chooseRunning()
    {
        std::vector<std::string> running;
        for (const auto &[name, machine] : machines_) {
            if (machine.catchUp_ == milliseconds(0) && name != leaving_)
                running.push_back(name);
        }
        return running.empty() ? std::string() : running[group_.randomBelow(running.size())];
    }

    void lose(bool disk)
    {
        const std::string name = chooseRunning();
        if (name.empty())
            return;
        if (disk)
            group_.replaceDisk(name);
        else
            group_.crash(name);
        const milliseconds down(100 * (1 + group_.randomBelow(50)));
        machines_[name] = Machine{down, catchUpTime, disk};
    }

    void addSuccessor()
    {
        leaving_ = chooseRunning();
        if (leaving_.empty())
            return;
        const std::string name = "n" + std::to_string(++added_);
        group_.addProcess(name, someSeeds());
        machines_[name] = Machine{milliseconds(0), catchUpTime, false};
        successor_ = name;
    }

    void removeMachine()
    {
        if (machines_[successor_].catchUp_ > milliseconds(0))
            return;
        const std::string name = std::exchange(leaving_, {});
        group_.stop(name);
        machines_.erase(name);
    }

    void proposeDocument()
    {
        const std::uint64_t version = proposed_.size() + 1;
        proposed_.emplace_back(group_.propose(document(version)), version);
    }

    ControlGroup &group_;
    LossKind kind_;
    std::size_t limit_; ///< losses that the group bears
    std::map<std::string, Machine> machines_;
    std::string leaving_; ///< machine that has a successor and will leave; empty: none
    std::string successor_;
    std::uint64_t added_ = 0;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> proposed_; ///< tokens and versions
};

// Guards against orders of losses, returns and replacements that leave a group without a leader, or
// without what it accepted.
BOOST_DATA_TEST_CASE(groups_bear_losses_in_random_order,
                     data::make(groupTable)
                         * data::make({LossKind::Separate, LossKind::Overlapping})
                         * data::xrange(1, 41),
                     row, kind, seed)
{
    const auto group = foundGroup(row.size_, seed);
    RandomLosses losses(*group, row.size_, kind);
    for (int event = 0; event < 40; ++event)
        losses.playEvent();
    losses.recover();
}

} // namespace
