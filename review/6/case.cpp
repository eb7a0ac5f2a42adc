// A control process that crashes soon after each start, on a VM that loses its disk each time, must
// not take the acknowledged desired state out of reach.
#include "fleet.hpp"

#include <random>

using namespace review;

namespace {

constexpr int maxCycles = 25;
constexpr auto restartDelay = milliseconds(400);
constexpr auto ackTime = milliseconds(4000); // bound "ack_ms"
constexpr auto catchUpTime = milliseconds(4000); // bound "catch_up_s"
constexpr auto recoveryTime = milliseconds(12000); // bound "recovery_s"
constexpr auto readTime = milliseconds(6000); // twice the bound "contact_ms"

// Reads the desired state until a clear answer. Returns whether it has the version.
bool canRead(ControlCaller &control, Record &record, int version, milliseconds timeout)
{
    const Message answer = control.send("GET", "/-/config", "", timeout);
    const bool isCurrent = answer.status() == 200
        && answer.body_.find("\"version\":" + std::to_string(version) + ",") != std::string::npos;
    record.line("read desired state: status " + std::to_string(answer.status())
                + (isCurrent ? ", version " + std::to_string(version) : " " + answer.body_));
    return isCurrent;
}

Verdict run(Record &record, const std::string &root)
{
    Fleet fleet(record, root, 3, 1);
    ControlCaller control(fleet);
    for (const auto *group : {&fleet.controls_, &fleet.entries_}) {
        for (const std::string &ip : *group)
            fleet.start(ip);
    }
    constexpr int version = 2;
    for (int number = 1; number <= version; ++number) {
        const Message answer = control.send("PUT", "/-/config", desiredState(number), seconds(15));
        record.line("desired state " + std::to_string(number) + ": status "
                    + std::to_string(answer.status()));
        if (answer.status() != 200)
            throw CouldNotRun{"the desired state isn't acknowledged"};
    }
    fleet.firstStart_ = false;
    fleet.waitUntilReady(fleet.entries_[0], seconds(10));
    std::this_thread::sleep_for(seconds(4)); // all control processes have joined
    if (!canRead(control, record, version, seconds(5)))
        throw CouldNotRun{"the desired state can't be read"};

    const std::string leader = control.findLeader();
    const std::string victim =
        fleet.controls_[0] == leader ? fleet.controls_[1] : fleet.controls_[0];
    record.line("leader " + leader + ", the VM that loses its disk " + victim);
    std::mt19937 random(std::random_device{}());
    for (int cycle = 1; isTroubled() && cycle <= maxCycles; ++cycle) {
        fleet.kill(victim);
        fleet.loseDisk(victim);
        std::this_thread::sleep_for(restartDelay);
        fleet.start(victim);
        std::this_thread::sleep_for(milliseconds(20 + random() % 280));
        record.line("cycle " + std::to_string(cycle));
        if (!canRead(control, record, version, milliseconds(3000)))
            break;
    }
    if (isTroubled()) {
        fleet.kill(victim);
        fleet.loseDisk(victim);
        std::this_thread::sleep_for(restartDelay);
        fleet.start(victim);
    }
    record.line("from here on nothing is disturbed");
    std::this_thread::sleep_for(catchUpTime + recoveryTime);
    for (const std::string &ip : fleet.controls_) {
        if (!fleet.isRunning(ip))
            throw CouldNotRun{"a control process has ended"};
    }
    const bool isReadable = canRead(control, record, version, readTime);
    const Message change = control.send("PUT", "/-/config", desiredState(version + 1), ackTime);
    record.line("desired state " + std::to_string(version + 1) + ": status "
                + std::to_string(change.status()));
    return isReadable && change.status() == 200 ? Verdict::Held : Verdict::Broken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
