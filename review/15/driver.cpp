// A server starts again under its id behind a cut from the control processes, and leaves when the
// cut has healed. Its registrations from behind the cut arrive after its departure.
#include "fleet.hpp"

#include <iostream>
#include <set>

using namespace review;

namespace {

constexpr auto startTimeout = milliseconds(20000);
constexpr auto drainTime = milliseconds(2000); // drain_ms
constexpr auto crashAfterCut = milliseconds(300);
constexpr auto downTime = milliseconds(2000); // of the server after its crash
constexpr auto cutTime = milliseconds(4000);
constexpr auto heartbeatInterval = milliseconds(1200);
constexpr auto lateness = milliseconds(300); // of the held registrations, after the departure's ack
constexpr auto lingerTime = milliseconds(5500); // from the departure's ack to the server's end
constexpr auto workTime = milliseconds(250);
constexpr auto callInterval = milliseconds(25);
constexpr int stayingServers = 4; // beside the one that is cut off: a share of 0.2 of all
constexpr auto callTimeout = milliseconds(2000);
const std::string leavingId = "i-leaving";

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return exitNotRun;
    Record record(argv[3]);
    Fleet fleet(record, argv[1], argv[2], 3, 1);
    Runs runs(record);
    fleet.start();
    std::vector<std::unique_ptr<PlainServer>> staying;
    auto leaving = std::make_unique<PlainServer>(fleet.otherAddress(2), leavingId, runs, workTime);
    const std::string leavingEndpoint = leaving->server().endpoint();
    const std::uint16_t leavingPort = leaving->server().port();
    const auto bodyOf = [](const std::string &endpoint, std::uint64_t born) {
        return [=](std::uint64_t sequence) {
            return registrationBody("book", endpoint, "ready", born, sequence);
        };
    };
    std::vector<std::unique_ptr<Registration>> stayingBeats;
    for (int i = 1; i <= stayingServers; ++i) {
        staying.push_back(std::make_unique<PlainServer>(
            fleet.otherAddress(2 + i), "i-staying-" + std::to_string(i), runs, workTime));
        stayingBeats.push_back(std::make_unique<Registration>(
            fleet, staying.back()->id(),
            bodyOf(staying.back()->server().endpoint(), unixMilliseconds())));
    }
    auto beats = std::make_unique<Registration>(fleet, leavingId,
                                                bodyOf(leavingEndpoint, unixMilliseconds()));
    if (!fleet.apply(desiredState(3, R"([{"name":"t1","api_keys":["key-one"],"priority":1}])"),
                     startTimeout))
        return exitNotRun;

    std::atomic<bool> stopped{false};
    std::atomic<int> number{0};
    std::atomic<int> lost{0};
    const auto send = [&] {
        const std::string id = "r-" + std::to_string(++number);
        const Message answer = call(fleet.entries()[0], fleet.entryPort(), "POST", "/unsafe/order",
                                    {{"Host", "book.example"},
                                     {"X-Request-Id", id},
                                     {"X-Deadline-Ms", "1500"},
                                     {"Authorization", "Bearer key-one"}},
                                    "{}", callTimeout);
        if (answer.status_ != 200) {
            record.write("client: request " + id + " -> " + std::to_string(answer.status_));
            lost += answer.status_ == 503 ? 0 : 1;
        }
        return answer.status_;
    };
    const auto allServe = [&] {
        send();
        std::set<std::string> servers;
        for (const Run &run : runs.all())
            servers.insert(run.server_);
        return servers.size() == stayingServers + 1;
    };
    if (!waitUntil(allServe, startTimeout))
        return exitNotRun;
    std::thread clients([&] {
        std::vector<std::thread> callers;
        while (!stopped) {
            callers.emplace_back(send);
            std::this_thread::sleep_for(callInterval);
        }
        for (std::thread &caller : callers)
            caller.join();
    });

    // The cut begins. Nothing that the server sends to control processes arrives before its end.
    std::this_thread::sleep_for(heartbeatInterval);
    const auto cutAt = Clock::now();
    beats->stop();
    record.write(hasTrouble() ? "the server is cut off from the control processes" : "no cut");
    std::this_thread::sleep_for(crashAfterCut);
    record.write("the server crashes");
    leaving.reset();
    std::this_thread::sleep_for(downTime);
    const std::uint64_t born = unixMilliseconds();
    leaving = std::make_unique<PlainServer>(fleet.otherAddress(2), leavingId, runs, workTime,
                                            leavingPort);
    record.write("the server has started again under its id, born " + std::to_string(born));
    std::vector<std::string> held;
    const auto body = bodyOf(leavingEndpoint, born);
    if (!hasTrouble())
        beats = std::make_unique<Registration>(fleet, leavingId, body);
    while (Clock::now() < cutAt + cutTime) {
        held.push_back(body(held.size() + 1));
        std::this_thread::sleep_until(std::min(Clock::now() + heartbeatInterval, cutAt + cutTime));
    }
    // The cut has healed, and the server leaves without having announced that it drains.
    beats->stop();
    const Message departure =
        fleet.control("DELETE", "/-/instances/" + leavingId, "", startTimeout, "leaving server");
    if (departure.status_ != 200)
        return exitNotRun;
    const auto acknowledgedAt = Clock::now();
    std::this_thread::sleep_for(lateness);
    if (hasTrouble()) {
        for (const std::string &late : held)
            fleet.control("PUT", "/-/instances/" + leavingId, late, startTimeout,
                          "late registration from behind the cut");
    }
    std::this_thread::sleep_until(acknowledgedAt + lingerTime);
    record.write("the server ends");
    const int lostBefore = lost;
    leaving.reset();
    std::this_thread::sleep_for(milliseconds(500));
    stopped = true;
    clients.join();

    std::size_t late = 0;
    for (const Run &run : runs.all())
        late += run.server_ == leavingId && run.at_ > acknowledgedAt + drainTime ? 1 : 0;
    record.write("requests that reached the server later than drain_ms after the ack: "
                 + std::to_string(late)
                 + "; requests lost with its end: " + std::to_string(lost - lostBefore));
    std::cout << (late > 0 ? "DRAIN broken: " : "held: ") << late << " late requests, "
              << lost - lostBefore << " lost with the server's end\n";
    return late > 0 ? exitBroken : exitHeld;
}
