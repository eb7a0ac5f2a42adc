/// @file
/// @brief Cost of control against the number of nodes, and the price of records, with real
/// processes on loopback.
///
/// Usage: bench_fleet PROGRAMS EXAMPLES WORK [nodes|records]. Prints CSV: size,what,value,unit.
#include "standins/town.hpp"

#include <boost/json.hpp>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using namespace standins;
using chervilspring::BootClock;
using chervilspring::Instant;

constexpr auto window = milliseconds(8000); // over which rates are taken
constexpr auto startLimit = milliseconds(30000);

struct ProcessUse
{
    double cpuSeconds_ = 0;
    double residentKib_ = 0;
    double privateKib_ = 0; ///< anonymous pages: what the program itself holds
};

ProcessUse useOf(pid_t pid)
{
    ProcessUse use;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skip;
    for (int i = 0; i < 11; ++i)
        fields >> skip;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    use.cpuSeconds_ = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:"))
            use.residentKib_ = std::stod(line.substr(6));
        if (line.starts_with("RssAnon:"))
            use.privateKib_ = std::stod(line.substr(8));
    }
    return use;
}

double metric(FleetFixture &fixture, const std::string &process, const std::string &name)
{
    std::istringstream lines(fixture.http(process, "GET", "/metrics").body_);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("chervilspring_" + name + " "))
            return std::stod(line.substr(line.rfind(' ') + 1));
    }
    return 0;
}

void print(int size, const char *what, double value, const char *unit)
{
    std::printf("%d,%s,%.3f,%s\n", size, what, value, unit);
    std::fflush(stdout);
}

// Rates of a process over the window, taken from two readings.
struct Reading
{
    ProcessUse use_;
    double messagesSent_ = 0;
    double messagesReceived_ = 0;
    double bytesSent_ = 0;
    double bytesReceived_ = 0;
};

Reading read(FleetFixture &fixture, const std::string &name)
{
    return Reading{useOf(fixture.pid(name)), metric(fixture, name, "messages_sent"),
                   metric(fixture, name, "messages_received"), metric(fixture, name, "bytes_sent"),
                   metric(fixture, name, "bytes_received")};
}

void benchNodes(int agents, const FixturePaths &paths, const std::filesystem::path &examples)
{
    FleetFixture fixture(paths);
    fixture.startControls(3);
    fixture.startEntry("e1");
    const int services = 4;
    for (int i = 0; i < agents; ++i) {
        UpstreamSpec spec;
        spec.name_ = "node-" + std::to_string(i);
        spec.kind_ = "service";
        spec.labels_ = "service=s" + std::to_string(i % services);
        fixture.startUpstream(spec);
    }
    if (!fixture.waitServing(agents, startLimit)) {
        std::cerr << "nodes did not start\n";
        return;
    }
    fixture.ctl({"apply", (examples / "hivewright.ini").string()});
    std::this_thread::sleep_for(seconds(2));
    const std::string leader = fixture.leader();
    const Reading first = read(fixture, leader);
    const ProcessUse agentFirst = useOf(fixture.pid("node-0"));
    const ProcessUse entryFirst = useOf(fixture.pid("e1"));
    std::this_thread::sleep_for(window);
    const Reading second = read(fixture, leader);
    const ProcessUse agentSecond = useOf(fixture.pid("node-0"));
    const ProcessUse entrySecond = useOf(fixture.pid("e1"));
    const double span = std::chrono::duration<double>(window).count();
    print(agents, "leader_messages",
          (second.messagesSent_ - first.messagesSent_ + second.messagesReceived_
           - first.messagesReceived_)
              / span,
          "per_second");
    print(agents, "leader_bytes_sent", (second.bytesSent_ - first.bytesSent_) / span,
          "bytes_per_second");
    print(agents, "leader_bytes_received", (second.bytesReceived_ - first.bytesReceived_) / span,
          "bytes_per_second");
    print(agents, "leader_cpu", (second.use_.cpuSeconds_ - first.use_.cpuSeconds_) / span * 100,
          "percent_of_a_core");
    print(agents, "leader_private", second.use_.privateKib_, "KiB");
    print(agents, "leader_resident", second.use_.residentKib_, "KiB");
    print(agents, "agent_cpu", (agentSecond.cpuSeconds_ - agentFirst.cpuSeconds_) / span * 100,
          "percent_of_a_core");
    print(agents, "agent_private", agentSecond.privateKib_, "KiB");
    print(agents, "agent_resident", agentSecond.residentKib_, "KiB");
    print(agents, "entry_cpu", (entrySecond.cpuSeconds_ - entryFirst.cpuSeconds_) / span * 100,
          "percent_of_a_core");
    print(agents, "entry_private", entrySecond.privateKib_, "KiB");
    // A change that every node has to acknowledge.
    for (int i = 0; i < 3; ++i) {
        const Instant start = BootClock::now();
        fixture.ctl({"label", "node-0", "round=" + std::to_string(i)});
        print(agents, "change_in_force",
              static_cast<double>((BootClock::now() - start).count()) / 1e6, "ms");
    }
}

void benchRecords(bool keys, double perSecond, const FixturePaths &paths,
                  const std::filesystem::path &examples)
{
    FleetFixture fixture(paths);
    Deployment town = hivewright(DeploymentSize::Demo);
    if (!startDeployment(fixture, town, examples).empty())
        return;
    Workload orders = town.workloads_.back();
    orders.requestsPerSecond_ = perSecond;
    orders.idempotencyKey_ = keys;
    LoadSpec load;
    load.entryPorts_ = {fixture.httpPort("e1"), fixture.httpPort("e2")};
    load.workloads_ = {orders};
    load.duration_ = milliseconds(6000);
    const std::string leader = fixture.leader();
    const double syncsBefore = metric(fixture, leader, "control_syncs");
    const double batchesBefore = metric(fixture, leader, "control_batches");
    const WorkloadReport report = runLoad(load).begin()->second;
    const double syncs = metric(fixture, leader, "control_syncs") - syncsBefore;
    const double batches = metric(fixture, leader, "control_batches") - batchesBefore;
    const int rate = static_cast<int>(perSecond);
    const std::string name = keys ? "with_record" : "without_record";
    print(rate, (name + "_p50").c_str(), quantile(report.latenciesMs_, 0.5), "ms");
    print(rate, (name + "_p95").c_str(), quantile(report.latenciesMs_, 0.95), "ms");
    print(rate, (name + "_attained").c_str(),
          static_cast<double>(report.attained_) / static_cast<double>(report.sent_), "share");
    if (keys)
        print(rate, "commits_per_sync", batches / std::max(1.0, syncs), "");
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4) {
        std::cerr << "usage: bench_fleet PROGRAMS EXAMPLES WORK [nodes|records]\n";
        return 1;
    }
    const FixturePaths paths{argv[1], std::filesystem::path(argv[3]) / "bench-fleet"};
    const std::string part = argc > 4 ? argv[4] : "";
    std::printf("size,what,value,unit\n");
    if (part != "records") {
        for (const int agents : {4, 12, 24, 48, 96})
            benchNodes(agents, paths, argv[2]);
    }
    if (part != "nodes") {
        for (const double rate : {10.0, 50.0, 150.0}) {
            benchRecords(false, rate, paths, argv[2]);
            benchRecords(true, rate, paths, argv[2]);
        }
    }
    return 0;
}
