// Tests operator commands and control processes: conflicting and repeated commands, labels, lost
// and damaged disks, nodes without control.
#include "process_fixture.hpp"

#include <fstream>
#include <future>
#include <sstream>
#include <thread>

namespace {

using namespace standins;

// Returns the first error id in a text, or the whole text if it contains none.
std::string findErrorId(const std::string &text)
{
    const auto start = text.find("CS-");
    return start == std::string::npos ? text : text.substr(start, 7);
}

BOOST_AUTO_TEST_CASE(second_apply_with_the_same_base_version_is_rejected)
{
    TestFleet fleet("operators-race");
    const std::string base = std::to_string(fleet.statusNumber("fleet_version"));
    const std::string file = fleet.fleetFile_.string();
    BOOST_TEST(fleet.fixture_.ctl({"--operation=one", "apply", file, base}) == 0,
               fleet.fixture_.lastOutput());
    const std::string accepted = fleet.fixture_.lastOutput();
    const auto version = fleet.statusNumber("fleet_version");
    // A second operator's change is based on the same version, which is outdated now.
    BOOST_TEST(fleet.fixture_.ctl({"--operation=two", "apply", file, base}) == 4);
    BOOST_TEST(fleet.fixture_.lastOutput().find(std::to_string(version)) != std::string::npos);
    // Repeating the first command, as after a lost answer, gives the same answer without applying
    // the change again.
    BOOST_TEST(fleet.fixture_.ctl({"--operation=one", "apply", file, base}) == 0);
    BOOST_TEST(fleet.fixture_.lastOutput().substr(0, accepted.find('\n'))
               == accepted.substr(0, accepted.find('\n')));
    BOOST_TEST(fleet.statusNumber("fleet_version") == version);
}

BOOST_AUTO_TEST_CASE(label_moves_traffic_and_selector_without_match_is_reported)
{
    TestFleet fleet("operators-label");
    std::ostringstream text;
    text << std::ifstream(fleet.fleetFile_).rdbuf();
    std::string fleetText = text.str();
    fleetText.replace(fleetText.find("service=index"), 13, "service=index, tier!=standby");
    fleetText += "[pool empty]\nupstreams = service=nothing\n";
    std::ofstream(fleet.fleetFile_) << fleetText;
    BOOST_TEST(fleet.fixture_.ctl({"apply", fleet.fleetFile_.string()}) == 0);
    BOOST_TEST(fleet.fixture_.lastOutput().find("pool empty") != std::string::npos);
    BOOST_TEST(fleet.fixture_.ctl({"label", "index-1", "tier=standby"}) == 0,
               fleet.fixture_.lastOutput());
    for (int i = 0; i < 10; ++i) {
        const CallerAnswer answer = fleet.fixture_.call("e1", "note", "shop", "{\"marker\":\"m\"}");
        BOOST_TEST(answer.status_ == 200u);
        fleet.fixture_.ctl({"--entry=127.0.0.1:" + std::to_string(fleet.fixture_.httpPort("e1")),
                            "explain", answer.requestId_});
        BOOST_TEST(fleet.fixture_.lastOutput().find("index-2") != std::string::npos);
        BOOST_TEST(fleet.fixture_.lastOutput().find("index-1") == std::string::npos);
    }
    // Draining the other upstream leaves no candidate until the label is removed.
    BOOST_TEST(fleet.fixture_.ctl({"drain", "index-2"}) == 0);
    const CallerAnswer rejected = fleet.fixture_.call("e1", "note", "shop", "{\"marker\":\"m\"}");
    BOOST_TEST(TestFleet::errorId(rejected) == "CS-2012", rejected.body_);
    BOOST_TEST(fleet.fixture_.ctl({"label", "index-1", "tier="}) == 0);
    BOOST_TEST(fleet.fixture_.call("e1", "note", "shop", "{\"marker\":\"m\"}").status_ == 200u);
    // The drained state must survive a restart of the agent.
    fleet.fixture_.signal("index-2", SIGKILL);
    fleet.fixture_.waitForEnd("index-2", processTimeout);
    fleet.fixture_.restart("index-2");
    BOOST_REQUIRE(fleet.fixture_.waitServing(6, processTimeout));
    fleet.fixture_.ctl({"--json", "status"});
    const auto status = boost::json::parse(fleet.fixture_.lastOutput());
    for (const auto &upstream : status.at("upstreams").as_array()) {
        if (upstream.at("name").as_string() == "index-2")
            BOOST_TEST(upstream.at("drained").as_bool());
    }
}

BOOST_AUTO_TEST_CASE(failed_commands_have_documented_exit_statuses)
{
    TestFleet fleet("operators-exit");
    BOOST_TEST(fleet.fixture_.ctl({"drain", "nobody"}) == 2);
    BOOST_TEST(fleet.fixture_.lastOutput().find("NotFound") != std::string::npos);
    BOOST_TEST(fleet.fixture_.ctl({"dance"}) == 1);
    BOOST_TEST(fleet.fixture_.ctl({"apply", "/nonexistent.ini"}) == 2);
    BOOST_TEST(findErrorId(fleet.fixture_.lastOutput()) == "CS-1001");
    BOOST_TEST(fleet.fixture_.ctl({"members"}) == 0);
    BOOST_TEST(fleet.fixture_.ctl({"get"}) == 0);
    BOOST_TEST(fleet.fixture_.ctl({"diff", fleet.fleetFile_.string()}) == 0);
    BOOST_TEST(fleet.fixture_.lastOutput().empty());
    for (const char *name : {"c1", "c2", "c3"})
        fleet.fixture_.signal(name, SIGKILL);
    BOOST_TEST(fleet.fixture_.ctl({"status"}) == 3);
}

// Returns the member ids of the voters, by name; empty if the command fails.
std::map<std::string, std::uint64_t> voterIds(TestFleet &fleet)
{
    std::map<std::string, std::uint64_t> ids;
    if (fleet.fixture_.ctl({"--json", "members"}) != 0)
        return ids;
    const auto list = boost::json::parse(fleet.fixture_.lastOutput());
    for (const auto &member : list.as_array()) {
        if (member.at("voter").as_bool())
            ids[std::string(member.at("name").as_string())] =
                member.at("id").to_number<std::uint64_t>();
    }
    return ids;
}

// Waits until a process votes under a new member id and the old id has been removed. Returns false
// if that has not happened after 300 queries.
bool waitForReplacement(TestFleet &fleet, const std::string &name, std::uint64_t oldId)
{
    for (int i = 0; i < 300; ++i) {
        const auto ids = voterIds(fleet);
        const auto list = boost::json::parse(fleet.fixture_.lastOutput());
        const bool onlyThreeVoters = ids.size() == 3 && list.as_array().size() == 3;
        if (onlyThreeVoters && ids.at(name) != oldId)
            return true;
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

BOOST_AUTO_TEST_CASE(lost_disk_is_replaced_twice_without_data_loss)
{
    TestFleet fleet("operators-disk");
    BOOST_REQUIRE(fleet.order("e1", "kept", newKey("kept")).status_ == 200u);
    const auto version = fleet.statusNumber("fleet_version");
    for (int round = 0; round < 2; ++round) {
        const std::string lostMember = fleet.fixture_.leader();
        const std::uint64_t oldId = voterIds(fleet).at(lostMember);
        fleet.fixture_.signal(lostMember, SIGKILL);
        fleet.fixture_.waitForEnd(lostMember, processTimeout);
        std::filesystem::remove_all(fleet.folder_ / lostMember);
        fleet.fixture_.restart(lostMember);
        BOOST_TEST(waitForReplacement(fleet, lostMember, oldId), lostMember);
        BOOST_TEST(fleet.statusNumber("fleet_version") == version);
    }
    BOOST_TEST(fleet.order("e2", "after", newKey("after")).status_ == 200u);
}

BOOST_AUTO_TEST_CASE(member_with_damaged_snapshot_rejoins_as_a_new_member)
{
    FixtureSettings settings;
    settings.snapshotEntries_ = 16;
    TestFleet fleet("operators-damage", settings);
    const std::string damagedMember = fleet.fixture_.leader() == "c1" ? "c2" : "c1";
    fleet.fixture_.signal(damagedMember, SIGKILL);
    fleet.fixture_.waitForEnd(damagedMember, processTimeout);
    const auto file = fleet.folder_ / damagedMember / "snapshot";
    BOOST_REQUIRE(std::filesystem::exists(file));
    {
        std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
        stream.seekp(40);
        stream.put('!');
    }
    fleet.fixture_.restart(damagedMember);
    BOOST_TEST(fleet.fixture_.waitReady(damagedMember, processTimeout));
    BOOST_TEST(std::filesystem::exists(fleet.folder_ / damagedMember / "damaged-1" / "snapshot"));
    BOOST_TEST(fleet.order("e1", "after", newKey("after")).status_ == 200u);
}

BOOST_AUTO_TEST_CASE(suspended_leader_is_replaced_and_resumes_as_follower)
{
    TestFleet fleet("operators-frozen-leader");
    const std::string oldLeader = fleet.fixture_.leader();
    fleet.fixture_.signal(oldLeader, SIGSTOP);
    const CallerAnswer during = fleet.order("e1", "during", newKey("during"));
    BOOST_TEST(during.status_ == 200u, during.body_);
    BOOST_TEST(fleet.runs("during") == 1);
    fleet.fixture_.signal(oldLeader, SIGCONT);
    BOOST_TEST(fleet.fixture_.waitReady(oldLeader, processTimeout));
    BOOST_TEST(fleet.fixture_.leader() != oldLeader);
    BOOST_TEST(fleet.order("e2", "later", newKey("later")).status_ == 200u);
}

BOOST_AUTO_TEST_CASE(nodes_without_control_stop_serving_after_the_stale_limit)
{
    FixtureSettings settings;
    settings.staleAfterMs_ = 2000;
    TestFleet fleet("operators-cut-off", settings);
    for (const char *name : {"c1", "c2", "c3"})
        fleet.fixture_.signal(name, SIGSTOP);
    BOOST_TEST(fleet.fixture_.call("e1", "note", "shop", "{\"marker\":\"m\"}").status_ == 200u);
    std::this_thread::sleep_for(milliseconds(3000));
    const CallerAnswer refused = fleet.fixture_.call("e1", "note", "shop", "{\"marker\":\"m\"}");
    BOOST_TEST(TestFleet::errorId(refused) == "CS-3005", refused.body_);
    BOOST_TEST(TestFleet::ran(refused) == "not_run");
    for (const char *name : {"c1", "c2", "c3"})
        fleet.fixture_.signal(name, SIGCONT);
    // Entries and agents reconnect to the control processes on their own.
    bool served = false;
    for (int i = 0; i < 100 && !served; ++i) {
        served = fleet.fixture_.call("e1", "note", "shop", "{\"marker\":\"m\"}").status_ == 200;
        std::this_thread::sleep_for(milliseconds(100));
    }
    BOOST_TEST(served);
}

} // namespace
