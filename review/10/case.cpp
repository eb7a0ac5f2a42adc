// A server that starts again under its id must get requests, although the departure of its earlier
// start arrives late.
#include "fleet.hpp"

#include <memory>

using namespace review;

namespace {

constexpr auto heartbeatInterval = milliseconds(1200); // "heartbeat_ms"
constexpr auto cutTime = milliseconds(5000);
constexpr auto drainTime = milliseconds(2000); // bound "drain_ms"
constexpr auto withoutAckTime = milliseconds(4000); // a server without an ack exits after that
constexpr auto configApplyTime = milliseconds(2000); // bound "config_apply_ms"
constexpr auto contactTime = milliseconds(3000); // bound "contact_ms"
constexpr auto workTime = milliseconds(20);
constexpr int rounds = 60; // of a request to each route

Verdict run(Record &record, const std::string &root)
{
    Fleet fleet(record, root, 3, 2);
    ControlCaller control(fleet);
    for (const auto *group : {&fleet.controls_, &fleet.entries_}) {
        for (const std::string &ip : *group)
            fleet.start(ip);
    }
    if (control.send("PUT", "/-/config", desiredState(1), seconds(15)).status() != 200)
        throw CouldNotRun{"the desired state isn't acknowledged"};
    fleet.firstStart_ = false;
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 1; i <= 2; ++i) {
        servers.push_back(
            std::make_unique<Server>(fleet, "i-" + std::to_string(i), fleet.serverIp(i), workTime));
        servers.back()->startHeartbeats(heartbeatInterval);
    }
    auto desk = std::make_unique<Server>(fleet, "i-desk", fleet.serverIp(3), workTime, "desk");
    desk->startHeartbeats(heartbeatInterval);
    for (const std::string &ip : fleet.entries_)
        fleet.waitUntilReady(ip, seconds(10));
    std::this_thread::sleep_for(seconds(4));
    const std::string leader = control.findLeader();
    if (leader.empty() || desk->lastAcknowledged() == Clock::time_point{})
        throw CouldNotRun{"no leader is known, or a server isn't registered"};

    // A planned restart of the server.
    desk->stopHeartbeats();
    const std::string path = desk->path();
    const auto leftAt = Clock::now();
    if (isTroubled()) {
        record.line("i-desk is cut off from the control processes and leaves; its departure is "
                    "held up on its connection to "
                    + leader);
        std::this_thread::sleep_until(leftAt + withoutAckTime);
    } else {
        const Message departure = control.send("DELETE", path, "", seconds(3));
        record.line("i-desk leaves: status " + std::to_string(departure.status()));
        std::this_thread::sleep_until(leftAt + drainTime + milliseconds(500));
    }
    desk.reset();
    record.line("i-desk exits");
    std::this_thread::sleep_until(leftAt + cutTime);
    desk = std::make_unique<Server>(fleet, "i-desk", fleet.serverIp(3), workTime, "desk");
    desk->startHeartbeats(heartbeatInterval);
    record.line("the cut has ended, i-desk starts again");
    std::this_thread::sleep_for(milliseconds(700));
    if (desk->lastAcknowledged() == Clock::time_point{})
        throw CouldNotRun{"the heartbeat of the restarted server isn't acknowledged"};
    record.line("heartbeat of i-desk acknowledged");
    if (isTroubled()) {
        // TCP retransmits after 0.2, 0.6, 1.4, 3.0 and 6.2 s.
        std::this_thread::sleep_until(leftAt + milliseconds(6200));
        const Message answer = control.sendOnce(leader, "DELETE", path, "");
        record.line("the held-up departure arrives: status " + std::to_string(answer.status()) + " "
                    + answer.body_);
    }
    std::this_thread::sleep_for(contactTime);
    if (control.send("PUT", "/-/config", desiredState(2, true), seconds(5)).status() != 200)
        throw CouldNotRun{"the desired state with the added route isn't acknowledged"};
    record.line("a route /desk/ was added");
    std::this_thread::sleep_for(configApplyTime + contactTime);
    int servedOnFirst = 0;
    int servedOnAdded = 0;
    for (int i = 0; i < rounds; ++i) {
        const Address entry{fleet.entries_[static_cast<std::size_t>(i) % fleet.entries_.size()],
                            Fleet::frontPort_};
        for (const bool isAdded : {false, true}) {
            const std::string id = (isAdded ? "added-" : "first-") + std::to_string(i);
            const int status = call(entry, "GET", isAdded ? "/desk/1" : "/look/1",
                                    callerHeaders(id, milliseconds(1500)), "", milliseconds(2000))
                                   .status();
            (isAdded ? servedOnAdded : servedOnFirst) += status == 200 ? 1 : 0;
            record.line("request " + id + ": status " + std::to_string(status));
        }
        std::this_thread::sleep_for(milliseconds(300));
    }
    const double ageSeconds =
        std::chrono::duration<double>(Clock::now() - desk->lastAcknowledged()).count();
    record.line("last acknowledged heartbeat of i-desk: " + std::to_string(ageSeconds) + " s ago");
    record.line("served: " + std::to_string(servedOnFirst) + " of " + std::to_string(rounds)
                + " on a first route, " + std::to_string(servedOnAdded) + " of "
                + std::to_string(rounds) + " on the added one");
    if (servedOnFirst < rounds / 2)
        throw CouldNotRun{"the first routes aren't served either"};
    return 4 * servedOnAdded < servedOnFirst ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
