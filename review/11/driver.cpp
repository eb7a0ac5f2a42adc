// Two of five control machines are replaced as planned: both new machines come first, then the old
// ones are stopped for good. Much later two machines lose their disks right after a change.
#include "fleet.hpp"

#include <signal.h>

#include <iostream>

using namespace review;

namespace {

constexpr auto startTimeout = milliseconds(20000);
constexpr auto catchUpTime = milliseconds(9000); // one and a half times catch_up_s
constexpr auto grace = milliseconds(8000); // grace_s
constexpr auto downTime = milliseconds(1000); // of the machines that lose their disks
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
    std::vector<std::string> old = fleet.controls();
    std::erase(old, fleet.leader());
    fleet.addControl();
    fleet.addControl();
    // From here on the machines that they replace don't count any more.
    std::this_thread::sleep_for(catchUpTime);
    for (std::size_t i = 0; i < 2; ++i) {
        fleet.signal(old[i], SIGTERM);
        if (!waitUntil([&] { return !fleet.isRunning(old[i]); }, grace))
            return exitNotRun;
        fleet.removeControl(old[i]);
        std::this_thread::sleep_for(catchUpTime);
    }
    const std::string newest = desiredState(7, tenants);
    if (!fleet.apply(newest, startTimeout))
        return exitNotRun;
    const std::string leader = fleet.leader();
    record.write("leader: " + leader + ", of " + std::to_string(fleet.controls().size())
                 + " machines");
    if (hasTrouble())
        fleet.loseDisks({leader, fleet.controls()[fleet.controls()[0] == leader ? 1 : 0]},
                        downTime);
    // All machines that exist run from here on.
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
