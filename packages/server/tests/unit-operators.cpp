// Covers operators and control processes: races, resends, labels, lost disks, cut-off nodes.
#include "process_fixture.hpp"

#include <fstream>
#include <future>
#include <sstream>
#include <thread>

namespace {

using namespace standins;

std::string errorIdOf(const std::string &text)
{
    const auto start = text.find("CS-");
    return start == std::string::npos ? text : text.substr(start, 7);
}

BOOST_AUTO_TEST_CASE(racing_operators_with_equal_numbers)
{
    TestTown town("operators-race");
    const std::string base = std::to_string(town.statusNumber("fleet_version"));
    const std::string file = town.fleetFile_.string();
    BOOST_TEST(town.fleet_.ctl({"--operation=one", "apply", file, base}) == 0,
               town.fleet_.lastOutput());
    const std::string accepted = town.fleet_.lastOutput();
    const auto version = town.statusNumber("fleet_version");
    // The other operator's change was made from the same version.
    BOOST_TEST(town.fleet_.ctl({"--operation=two", "apply", file, base}) == 4);
    BOOST_TEST(town.fleet_.lastOutput().find(std::to_string(version)) != std::string::npos);
    // The first one's answer was lost and it asks again: the same answer, nothing applied twice.
    BOOST_TEST(town.fleet_.ctl({"--operation=one", "apply", file, base}) == 0);
    BOOST_TEST(town.fleet_.lastOutput().substr(0, accepted.find('\n'))
               == accepted.substr(0, accepted.find('\n')));
    BOOST_TEST(town.statusNumber("fleet_version") == version);
}

BOOST_AUTO_TEST_CASE(label_moves_traffic_and_selector_without_match_is_reported)
{
    TestTown town("operators-label");
    std::ostringstream text;
    text << std::ifstream(town.fleetFile_).rdbuf();
    std::string fleet = text.str();
    fleet.replace(fleet.find("service=index"), 13, "service=index, tier!=standby");
    fleet += "[pool empty]\nupstreams = service=nothing\n";
    std::ofstream(town.fleetFile_) << fleet;
    BOOST_TEST(town.fleet_.ctl({"apply", town.fleetFile_.string()}) == 0);
    BOOST_TEST(town.fleet_.lastOutput().find("pool empty") != std::string::npos);
    BOOST_TEST(town.fleet_.ctl({"label", "index-1", "tier=standby"}) == 0,
               town.fleet_.lastOutput());
    for (int i = 0; i < 10; ++i) {
        const CallerAnswer answer = town.fleet_.call("e1", "note", "shop", "{\"marker\":\"m\"}");
        BOOST_TEST(answer.status_ == 200u);
        town.fleet_.ctl({"--entry=127.0.0.1:" + std::to_string(town.fleet_.httpPort("e1")),
                         "explain", answer.requestId_});
        BOOST_TEST(town.fleet_.lastOutput().find("index-2") != std::string::npos);
        BOOST_TEST(town.fleet_.lastOutput().find("index-1") == std::string::npos);
    }
    // Draining the other one leaves nobody; the label is taken back and serves again.
    BOOST_TEST(town.fleet_.ctl({"drain", "index-2"}) == 0);
    const CallerAnswer none = town.fleet_.call("e1", "note", "shop", "{\"marker\":\"m\"}");
    BOOST_TEST(TestTown::errorId(none) == "CS-2012", none.body_);
    BOOST_TEST(town.fleet_.ctl({"label", "index-1", "tier="}) == 0);
    BOOST_TEST(town.fleet_.call("e1", "note", "shop", "{\"marker\":\"m\"}").status_ == 200u);
    // What operators said outlives the agent.
    town.fleet_.signal("index-2", SIGKILL);
    town.fleet_.waitForEnd("index-2", processLimit);
    town.fleet_.restart("index-2");
    BOOST_REQUIRE(town.fleet_.waitServing(6, processLimit));
    town.fleet_.ctl({"--json", "status"});
    const auto status = boost::json::parse(town.fleet_.lastOutput());
    for (const auto &upstream : status.at("upstreams").as_array()) {
        if (upstream.at("name").as_string() == "index-2")
            BOOST_TEST(upstream.at("drained").as_bool());
    }
}

BOOST_AUTO_TEST_CASE(unknown_operations_have_stated_exit_statuses)
{
    TestTown town("operators-exit");
    BOOST_TEST(town.fleet_.ctl({"drain", "nobody"}) == 2);
    BOOST_TEST(town.fleet_.lastOutput().find("NotFound") != std::string::npos);
    BOOST_TEST(town.fleet_.ctl({"dance"}) == 1);
    BOOST_TEST(town.fleet_.ctl({"apply", "/nonexistent.ini"}) == 2);
    BOOST_TEST(errorIdOf(town.fleet_.lastOutput()) == "CS-1001");
    BOOST_TEST(town.fleet_.ctl({"members"}) == 0);
    BOOST_TEST(town.fleet_.ctl({"get"}) == 0);
    BOOST_TEST(town.fleet_.ctl({"diff", town.fleetFile_.string()}) == 0);
    BOOST_TEST(town.fleet_.lastOutput().empty());
    for (const char *name : {"c1", "c2", "c3"})
        town.fleet_.signal(name, SIGKILL);
    BOOST_TEST(town.fleet_.ctl({"status"}) == 3);
}

// Ids of the voters by name.
std::map<std::string, std::uint64_t> voterIds(TestTown &town)
{
    std::map<std::string, std::uint64_t> ids;
    if (town.fleet_.ctl({"--json", "members"}) != 0)
        return ids;
    const auto list = boost::json::parse(town.fleet_.lastOutput());
    for (const auto &member : list.as_array()) {
        if (member.at("voter").as_bool())
            ids[std::string(member.at("name").as_string())] =
                member.at("id").to_number<std::uint64_t>();
    }
    return ids;
}

// Waits until the new disk of a process votes and the old one is no member any more.
bool waitReplaced(TestTown &town, const std::string &name, std::uint64_t oldId)
{
    for (int i = 0; i < 300; ++i) {
        const auto ids = voterIds(town);
        const auto list = boost::json::parse(town.fleet_.lastOutput());
        const bool three = ids.size() == 3 && list.as_array().size() == 3;
        if (three && ids.at(name) != oldId)
            return true;
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

BOOST_AUTO_TEST_CASE(lost_disk_is_replaced_and_a_second_loss_loses_nothing)
{
    TestTown town("operators-disk");
    BOOST_REQUIRE(town.order("e1", "kept", newKey("kept")).status_ == 200u);
    const auto version = town.statusNumber("fleet_version");
    for (int round = 0; round < 2; ++round) {
        const std::string lost = town.fleet_.leader();
        const std::uint64_t oldId = voterIds(town).at(lost);
        town.fleet_.signal(lost, SIGKILL);
        town.fleet_.waitForEnd(lost, processLimit);
        std::filesystem::remove_all(town.folder_ / lost);
        town.fleet_.restart(lost);
        BOOST_TEST(waitReplaced(town, lost, oldId), lost);
        BOOST_TEST(town.statusNumber("fleet_version") == version);
    }
    BOOST_TEST(town.order("e2", "after", newKey("after")).status_ == 200u);
}

BOOST_AUTO_TEST_CASE(damaged_log_rejoins_as_a_new_member)
{
    FixtureSettings settings;
    settings.snapshotEntries_ = 16;
    TestTown town("operators-damage", settings);
    const std::string victim = town.fleet_.leader() == "c1" ? "c2" : "c1";
    town.fleet_.signal(victim, SIGKILL);
    town.fleet_.waitForEnd(victim, processLimit);
    const auto file = town.folder_ / victim / "snapshot";
    BOOST_REQUIRE(std::filesystem::exists(file));
    {
        std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
        stream.seekp(40);
        stream.put('!');
    }
    town.fleet_.restart(victim);
    BOOST_TEST(town.fleet_.waitReady(victim, processLimit));
    BOOST_TEST(std::filesystem::exists(town.folder_ / victim / "damaged-1" / "snapshot"));
    BOOST_TEST(town.order("e1", "after", newKey("after")).status_ == 200u);
}

BOOST_AUTO_TEST_CASE(silent_leader_is_replaced_and_wakes_as_follower)
{
    TestTown town("operators-frozen-leader");
    const std::string old = town.fleet_.leader();
    town.fleet_.signal(old, SIGSTOP);
    const CallerAnswer during = town.order("e1", "during", newKey("during"));
    BOOST_TEST(during.status_ == 200u, during.body_);
    BOOST_TEST(town.runs("during") == 1);
    town.fleet_.signal(old, SIGCONT);
    BOOST_TEST(town.fleet_.waitReady(old, processLimit));
    BOOST_TEST(town.fleet_.leader() != old);
    BOOST_TEST(town.order("e2", "later", newKey("later")).status_ == 200u);
}

BOOST_AUTO_TEST_CASE(nodes_cut_off_from_control_stop_inside_the_bound)
{
    FixtureSettings settings;
    settings.staleAfterMs_ = 2000;
    TestTown town("operators-cut-off", settings);
    for (const char *name : {"c1", "c2", "c3"})
        town.fleet_.signal(name, SIGSTOP);
    BOOST_TEST(town.fleet_.call("e1", "note", "shop", "{\"marker\":\"m\"}").status_ == 200u);
    std::this_thread::sleep_for(milliseconds(3000));
    const CallerAnswer refused = town.fleet_.call("e1", "note", "shop", "{\"marker\":\"m\"}");
    BOOST_TEST(TestTown::errorId(refused) == "CS-3005", refused.body_);
    BOOST_TEST(TestTown::ran(refused) == "not_run");
    for (const char *name : {"c1", "c2", "c3"})
        town.fleet_.signal(name, SIGCONT);
    // Entries and agents find control again, each by itself.
    bool served = false;
    for (int i = 0; i < 100 && !served; ++i) {
        served = town.fleet_.call("e1", "note", "shop", "{\"marker\":\"m\"}").status_ == 200;
        std::this_thread::sleep_for(milliseconds(100));
    }
    BOOST_TEST(served);
}

} // namespace
