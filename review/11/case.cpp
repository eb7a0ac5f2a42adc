// A control machine is replaced as planned, and right after its end another one loses its disk.
#include "fleet.hpp"

#include <signal.h>

#include <iostream>

using namespace review;

namespace {

constexpr auto startTimeout = milliseconds(20000);
constexpr auto catchUpTime = milliseconds(8000); // twice catch_up_s
constexpr auto grace = milliseconds(8000); // grace_s
constexpr auto untilLoss = milliseconds(800); // from the end of the one machine to the loss
constexpr auto downTime = milliseconds(1000); // of the machine that loses its disk
constexpr auto recoveryTime = milliseconds(36000); // three times recovery_s
constexpr auto readTimeout = milliseconds(3000);

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return exitNotRun;
    Record record(argv[3]);
    Fleet fleet(record, argv[1], argv[2], 3, 1);
    fleet.start();
    const std::string tenants = R"([{"name":"t1","api_keys":["key-one"],"priority":1}])";
    if (!fleet.apply(desiredState(3, tenants), startTimeout))
        return exitNotRun;
    std::this_thread::sleep_for(catchUpTime);
    // The new machine comes first. The old one stops counting once its successor has caught up.
    fleet.addControl();
    std::this_thread::sleep_for(catchUpTime);
    const std::string leader = fleet.leader();
    record.write("leader: " + leader);
    const std::string replaced = fleet.controls()[fleet.controls()[0] == leader ? 1 : 0];
    fleet.signal(replaced, SIGTERM);
    if (!waitUntil([&] { return !fleet.isRunning(replaced); }, grace))
        fleet.signal(replaced, SIGKILL);
    fleet.removeControl(replaced);
    std::this_thread::sleep_for(untilLoss);
    const std::string newest = desiredState(7, tenants);
    if (!fleet.apply(newest, startTimeout))
        return exitNotRun;
    // The machine that has just acknowledged the change loses its disk.
    if (hasTrouble())
        fleet.loseDisks({leader}, downTime);
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
