/// @file
/// @brief Hundreds of changes of a large desired state, then all processes that serve control are
/// killed. The desired state that was acknowledged has to come back.
#include "../harness/harness.hpp"

using namespace review;

namespace {

constexpr long memoryKb = 256 * 1024; // memory_mb of a core machine
constexpr int changes = 240;
constexpr int gapMs = 330; // of a config_storm
constexpr int addedRoutes = 2 * 350; // two big_config
constexpr int downMs = 1300;
constexpr int recoveryMs = 12000; // recovery_s

std::string makeDocument(int version, int routes)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (int i = 0; i < 13 + routes; ++i) {
        const std::string name = std::to_string(1000 + i);
        text += std::string(i ? "," : "") + "{\"name\":\"r-mgjq" + name + "\",\"host\":\"pule"
            + name + ".example\",\"path_prefix\":\"/puxa" + name
            + "/\",\"route_type\":\"safe\",\"timeout_ms\":"
            + std::to_string(1500 + (i == 0 ? version : 0))
            + ",\"target_latency_ms\":300,\"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":"
              "2,"
              "\"public\":false,\"sticky\":false}";
    }
    return text
        + "],\"services\":[{\"name\":\"wuno96b\",\"health_path\":\"/"
          "health\",\"max_connections\":96,"
          "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
          "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
          "\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\"9dnn2ctnfzs989anu6ws\"],\"priority\":"
          "1}]}";
}

std::atomic<int> ownEnds{0};
std::mutex mutex; // guards the processes while the platform watches them

/// The platform: kills a process above its memory and starts it again after a short delay.
void watchMemory(Fleet &fleet, std::atomic<bool> &ending)
{
    std::map<std::string, double> startAt;
    std::map<std::string, long> peaks;
    while (!ending) {
        pause(10);
        const std::lock_guard lock(mutex);
        for (auto &[name, process] : fleet.processes()) {
            if (startAt.contains(name) && nowMs() >= startAt[name]) {
                startAt.erase(name);
                fleet.spawn(name);
            }
            if (process.role_ != "control" || process.pid_ <= 0)
                continue;
            int status = 0;
            const long resident = fleet.residentKb(name);
            const bool over = resident > memoryKb;
            if (!over && !fleet.hasEnded(name, status)) {
                peaks[name] = std::max(peaks[name], resident);
                continue;
            }
            record.line("platform: %s %s (%ld kB)", name.c_str(),
                        over ? "passes its memory" : "has ended by itself", resident);
            if (over)
                fleet.signal(name, SIGKILL);
            ++ownEnds;
            startAt[name] = nowMs() + 300;
        }
    }
    for (const auto &[name, peak] : peaks)
        record.line("platform: %s used at most %ld kB", name.c_str(), peak);
}

int versionOf(const Answer &answer)
{
    static const std::string field = "{\"version\":";
    return answer.status_ == 200 && answer.message_.body_.starts_with(field)
        ? std::atoi(answer.message_.body_.c_str() + field.size())
        : 0;
}

} // namespace

int main(int, char **arguments)
{
    const bool trouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    record.open(arguments[2]);
    Fleet fleet(arguments[1]);
    fleet.start(3, 1);
    if (fleet.apply(makeDocument(1, 0), 10000).empty())
        fleet.finish(2);
    std::atomic<bool> ending{false};
    std::thread platform([&] { watchMemory(fleet, ending); });
    const int routes = trouble ? addedRoutes : 0;
    int acknowledged = 1;
    for (int change = 1; change <= changes && nowMs() < 85000; ++change) {
        const double due = nowMs() + gapMs;
        const int version = 1 + 3 * change;
        if (!fleet.apply(makeDocument(version, routes), 2000).empty())
            acknowledged = version;
        if (due > nowMs())
            pause(static_cast<int>(due - nowMs()));
    }
    record.line("operator: version %d is the newest acknowledged one; ends so far: %d",
                acknowledged, ownEnds.load());
    {
        const std::lock_guard lock(mutex);
        for (int i = 1; i <= 3; ++i)
            fleet.signal("control" + std::to_string(i), SIGKILL);
        pause(downMs);
        for (int i = 1; i <= 3; ++i)
            fleet.spawn("control" + std::to_string(i));
    }
    const double until = nowMs() + recoveryMs;
    int read = 0;
    for (std::size_t i = 0; nowMs() < until && read == 0; ++i) {
        std::string by;
        read = versionOf(fleet.control(fleet.controls()[i % 3], "GET", "/-/config", "", by));
        pause(100);
    }
    ending = true;
    platform.join();
    record.line("operator: reads version %d (0: none came), acknowledged %d; processes ended: %d",
                read, acknowledged, ownEnds.load());
    std::printf("acknowledged %d, read %d, processes over their memory or ended: %d\n",
                acknowledged, read, ownEnds.load());
    fleet.finish(acknowledged < 100 ? 2 : read < acknowledged ? 1 : 0);
}
