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

} // namespace
