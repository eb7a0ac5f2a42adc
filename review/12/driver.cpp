// One control machine of five stays down. Another one loses its disk and catches up. Then two more
// lose their disks: as many as fault_tolerance allows. All come back.
#include "fleet.hpp"

#include <signal.h>

#include <iostream>

using namespace review;

namespace {

constexpr auto startTimeout = milliseconds(20000);
constexpr auto catchUpTime = milliseconds(9000); // one and a half times catch_up_s
constexpr auto betweenLosses = milliseconds(4000);
constexpr auto downTime = milliseconds(1000); // of machines that lose their disks
constexpr auto recoveryTime = milliseconds(45000); // three times recovery_s
constexpr auto readTimeout = milliseconds(3000);

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return exitNotRun;
    Record record(argv[3]);
    Fleet fleet(record, argv[1], argv[2], 5, 1);
    fleet.start();
    const std::string tenants = R"([{"name":"t1","api_keys":["key-one"],"priority":1}])";
    if (!fleet.apply(desiredState(3, tenants), startTimeout))
        return exitNotRun;
    std::this_thread::sleep_for(catchUpTime);
    const std::string leader = fleet.leader();
    record.write("leader: " + leader);
    std::vector<std::string> others = fleet.controls();
    std::erase(others, leader);
    const std::string down = others[0];
    fleet.signal(down, SIGKILL);
    std::this_thread::sleep_for(betweenLosses);
    // A first disk is lost, and its machine catches up.
    if (hasTrouble())
        fleet.loseDisks({others[1]}, downTime);
    std::this_thread::sleep_for(catchUpTime);
    const std::string newest = desiredState(7, tenants);
    if (!fleet.apply(newest, startTimeout))
        return exitNotRun;
    // Two more disks are lost, one of them that of the machine that acknowledged the change.
    fleet.loseDisks({leader, others[2]}, downTime);
    fleet.spawn(down);
    // All machines run from here on.
    const auto isReadBack = [&] {
        const Message read = fleet.control("GET", "/-/config", "", readTimeout, "operator");
        return read.status_ == 200 && read.body_ == newest;
    };
    const bool held = waitUntil(isReadBack, recoveryTime);
    for (const std::string &address : fleet.controls())
        record.write("control machine " + address
                     + (fleet.isRunning(address) ? " runs" : " has ended"));
    record.write(held ? "read back: version 7" : "version 7, acknowledged, can't be read any more");
    std::cout << (held ? "held" : "LOST, CONFIG broken: version 7 can't be read") << "\n";
    return held ? exitHeld : exitBroken;
}
