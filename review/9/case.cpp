// A server that leaves right after it was cut off from the control processes must not be listed
// again by a heartbeat of its own that arrives late.
#include "fleet.hpp"

#include <algorithm>
#include <memory>

using namespace review;

namespace {

constexpr auto heartbeatInterval = milliseconds(1200); // "heartbeat_ms"
constexpr auto cutTime = milliseconds(5000);
constexpr auto drainTime = milliseconds(2000); // bound "drain_ms"
// After drainTime the server goes on for a little longer, at times for many seconds.
constexpr auto lingerTime = milliseconds(5000);
constexpr auto workTime = milliseconds(100);
constexpr int callerThreads = 6;

// What a caller got.
struct Outcome
{
    std::string request_;
    Clock::time_point sentAt_;
    int status_ = 0;
};

// Sends requests to the entries, most of them unsafe.
class Callers
{
public:
    explicit Callers(Fleet &fleet) : fleet_(fleet)
    {
        for (int i = 0; i < callerThreads; ++i)
            threads_.emplace_back([this, i] { keepCalling(i); });
    }
    ~Callers() { stop(); }

    void stop()
    {
        stopped_ = true;
        for (std::thread &thread : threads_)
            thread.join();
        threads_.clear();
    }

    std::vector<Outcome> outcomes()
    {
        const std::lock_guard lock(mutex_);
        return outcomes_;
    }

private:
    void keepCalling(int caller)
    {
        for (int number = 0; !stopped_; ++number) {
            const bool isUnsafe = number % 4 != 0;
            const auto &entries = fleet_.entries_;
            const Address entry{entries[static_cast<std::size_t>(number) % entries.size()],
                                Fleet::frontPort_};
            Outcome outcome{"c" + std::to_string(caller) + "-" + std::to_string(number),
                            Clock::now(), 0};
            outcome.status_ =
                call(entry, isUnsafe ? "POST" : "GET", isUnsafe ? "/place/1" : "/look/1",
                     callerHeaders(outcome.request_, milliseconds(1500)), isUnsafe ? "order" : "",
                     milliseconds(2000))
                    .status();
            const std::lock_guard lock(mutex_);
            outcomes_.push_back(outcome);
        }
    }

    Fleet &fleet_;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::vector<Outcome> outcomes_;
    std::vector<std::thread> threads_;
};

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
    for (int i = 1; i <= 3; ++i) {
        servers.push_back(
            std::make_unique<Server>(fleet, "i-" + std::to_string(i), fleet.serverIp(i), workTime));
        servers.back()->startHeartbeats(heartbeatInterval);
    }
    for (const std::string &ip : fleet.entries_)
        fleet.waitUntilReady(ip, seconds(10));
    std::this_thread::sleep_for(seconds(4));
    const std::string leader = control.findLeader();
    if (leader.empty())
        throw CouldNotRun{"no leader is known"};
    Callers callers(fleet);
    std::this_thread::sleep_for(seconds(2));

    // The cut begins just before a heartbeat. That heartbeat is held up; its sender closes the
    // connection after a second, and the bytes arrive with a retransmission after the cut.
    Server &leaving = *servers[0];
    leaving.stopHeartbeats();
    std::this_thread::sleep_until(leaving.lastAcknowledged() + heartbeatInterval
                                  - milliseconds(100));
    const auto cutAt = Clock::now();
    const std::string heldUp = leaving.heartbeat();
    const auto heldUpSentAt = cutAt + milliseconds(100);
    record.line("heartbeat of " + leaving.id() + ": " + heldUp);
    if (isTroubled()) {
        record.line(leaving.id() + " is cut off from the control processes");
        std::this_thread::sleep_until(cutAt + cutTime);
        record.line("the cut ends");
        std::this_thread::sleep_until(cutAt + cutTime + milliseconds(700));
    } else {
        std::this_thread::sleep_until(heldUpSentAt);
        record.line(
            "heartbeat: status "
            + std::to_string(control.send("PUT", leaving.path(), heldUp, seconds(3)).status()));
    }
    const Message departure = control.send("DELETE", leaving.path(), "", seconds(3));
    const auto goneAt = Clock::now();
    record.line(leaving.id() + " leaves: status " + std::to_string(departure.status()) + " "
                + departure.body_);
    if (departure.status() != 200)
        throw CouldNotRun{"the departure isn't acknowledged"};
    if (isTroubled()) {
        // TCP retransmits after 0.2, 0.6, 1.4, 3.0 and 6.2 s.
        std::this_thread::sleep_until(heldUpSentAt + milliseconds(6200));
        const Message answer = control.sendOnce(leader, "PUT", leaving.path(), heldUp);
        record.line("the held-up heartbeat arrives: status " + std::to_string(answer.status()) + " "
                    + answer.body_);
    }
    std::this_thread::sleep_until(goneAt + lingerTime);
    leaving.end();
    record.line(leaving.id() + " exits");
    std::this_thread::sleep_for(seconds(3));
    callers.stop();

    const std::vector<Run> runs = leaving.runs();
    const auto outcomes = callers.outcomes();
    int late = 0;
    int lost = 0;
    for (const Run &item : runs) {
        const auto outcome = std::find_if(outcomes.begin(), outcomes.end(), [&](const Outcome &o) {
            return o.request_ == item.request_;
        });
        const bool isLate = item.at_ > goneAt + drainTime && outcome != outcomes.end()
            && outcome->sentAt_ > goneAt + drainTime;
        if (!isLate)
            continue;
        ++late;
        lost += item.answered_ || outcome->status_ == 200 ? 0 : 1;
        const std::chrono::duration<double> after = item.at_ - goneAt;
        record.line("late run of " + item.request_ + " " + std::to_string(after.count())
                    + " s after the departure was acknowledged, caller's status "
                    + std::to_string(outcome->status_));
    }
    record.line("requests " + std::to_string(outcomes.size()) + ", late runs "
                + std::to_string(late) + ", of these cut off by the server's exit "
                + std::to_string(lost));
    return late == 0 ? Verdict::Held : Verdict::Broken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
