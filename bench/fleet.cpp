/// @file
/// @brief Load of the control processes by number of nodes, and cost of idempotency records, with
/// real processes on loopback.
///
/// Usage: bench_fleet PROGRAMS EXAMPLES WORK [nodes|records]. Prints CSV: size,what,value,unit.
#include "standins/deployments.hpp"

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

constexpr auto measurementTime = milliseconds(8000);
constexpr auto startTimeout = milliseconds(30000);

struct ProcessUsage
{
    double cpuSeconds_ = 0;
    double residentKib_ = 0;
    double privateKib_ = 0; ///< resident anonymous pages, without mapped files
};

ProcessUsage readUsage(pid_t pid)
{
    ProcessUsage usage;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string ignored;
    // The text starts at field 3; utime and stime are fields 14 and 15.
    for (int i = 0; i < 11; ++i)
        fields >> ignored;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    usage.cpuSeconds_ = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:"))
            usage.residentKib_ = std::stod(line.substr(6));
        if (line.starts_with("RssAnon:"))
            usage.privateKib_ = std::stod(line.substr(8));
    }
    return usage;
}

double readMetric(FleetFixture &fixture, const std::string &process, const std::string &name)
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

// Resource usage and traffic counters of a process. Rates are the difference of two samples.
struct Sample
{
    ProcessUsage usage_;
    double messagesSent_ = 0;
    double messagesReceived_ = 0;
    double bytesSent_ = 0;
    double bytesReceived_ = 0;
};

Sample takeSample(FleetFixture &fixture, const std::string &name)
{
    return Sample{readUsage(fixture.pid(name)), readMetric(fixture, name, "messages_sent"),
                  readMetric(fixture, name, "messages_received"),
                  readMetric(fixture, name, "bytes_sent"),
                  readMetric(fixture, name, "bytes_received")};
}

void benchNodes(int agents, const FixturePaths &paths, const std::filesystem::path &examplesFolder)
{
    FleetFixture fixture(paths);
    fixture.startControls(3);
    fixture.startEntry("e1");
    const int serviceCount = 4;
    for (int i = 0; i < agents; ++i) {
        UpstreamSpec spec;
        spec.name_ = "node-" + std::to_string(i);
        spec.kind_ = "service";
        spec.labels_ = "service=s" + std::to_string(i % serviceCount);
        fixture.startUpstream(spec);
    }
    if (!fixture.waitServing(agents, startTimeout)) {
        std::cerr << "bench_fleet: upstreams did not start in time\n";
        return;
    }
    fixture.ctl({"apply", (examplesFolder / "hivewright.ini").string()});
    std::this_thread::sleep_for(seconds(2));
    const std::string leader = fixture.leader();
    const Sample first = takeSample(fixture, leader);
    const ProcessUsage agentFirst = readUsage(fixture.pid("node-0"));
    const ProcessUsage entryFirst = readUsage(fixture.pid("e1"));
    std::this_thread::sleep_for(measurementTime);
    const Sample second = takeSample(fixture, leader);
    const ProcessUsage agentSecond = readUsage(fixture.pid("node-0"));
    const ProcessUsage entrySecond = readUsage(fixture.pid("e1"));
    const double measuredSeconds = std::chrono::duration<double>(measurementTime).count();
    print(agents, "leader_messages",
          (second.messagesSent_ - first.messagesSent_ + second.messagesReceived_
           - first.messagesReceived_)
              / measuredSeconds,
          "per_second");
    print(agents, "leader_bytes_sent", (second.bytesSent_ - first.bytesSent_) / measuredSeconds,
          "bytes_per_second");
    print(agents, "leader_bytes_received",
          (second.bytesReceived_ - first.bytesReceived_) / measuredSeconds, "bytes_per_second");
    print(agents, "leader_cpu",
          (second.usage_.cpuSeconds_ - first.usage_.cpuSeconds_) / measuredSeconds * 100,
          "percent_of_a_core");
    print(agents, "leader_private", second.usage_.privateKib_, "KiB");
    print(agents, "leader_resident", second.usage_.residentKib_, "KiB");
    print(agents, "agent_cpu",
          (agentSecond.cpuSeconds_ - agentFirst.cpuSeconds_) / measuredSeconds * 100,
          "percent_of_a_core");
    print(agents, "agent_private", agentSecond.privateKib_, "KiB");
    print(agents, "agent_resident", agentSecond.residentKib_, "KiB");
    print(agents, "entry_cpu",
          (entrySecond.cpuSeconds_ - entryFirst.cpuSeconds_) / measuredSeconds * 100,
          "percent_of_a_core");
    print(agents, "entry_private", entrySecond.privateKib_, "KiB");
    // Measures the time until every live node has acknowledged a change.
    for (int i = 0; i < 3; ++i) {
        const Instant start = BootClock::now();
        fixture.ctl({"label", "node-0", "round=" + std::to_string(i)});
        print(agents, "change_in_force",
              static_cast<double>((BootClock::now() - start).count()) / 1e6, "ms");
    }
}

void benchRecords(bool sendKeys, double requestsPerSecond, const FixturePaths &paths,
                  const std::filesystem::path &examplesFolder)
{
    FleetFixture fixture(paths);
    Deployment deployment = hivewright(DeploymentSize::Demo);
    if (!startDeployment(fixture, deployment, examplesFolder).empty())
        return;
    Workload orders = deployment.workloads_.back();
    orders.requestsPerSecond_ = requestsPerSecond;
    orders.idempotencyKey_ = sendKeys;
    LoadSpec load;
    load.entryPorts_ = {fixture.httpPort("e1"), fixture.httpPort("e2")};
    load.workloads_ = {orders};
    load.duration_ = milliseconds(6000);
    const std::string leader = fixture.leader();
    const double syncsBefore = readMetric(fixture, leader, "control_syncs");
    const double batchesBefore = readMetric(fixture, leader, "control_batches");
    const WorkloadReport report = runLoad(load).begin()->second;
    const double syncs = readMetric(fixture, leader, "control_syncs") - syncsBefore;
    const double batches = readMetric(fixture, leader, "control_batches") - batchesBefore;
    const int rate = static_cast<int>(requestsPerSecond);
    const std::string name = sendKeys ? "with_record" : "without_record";
    print(rate, (name + "_p50").c_str(), quantile(report.latenciesMs_, 0.5), "ms");
    print(rate, (name + "_p95").c_str(), quantile(report.latenciesMs_, 0.95), "ms");
    print(rate, (name + "_attained").c_str(),
          static_cast<double>(report.attained_) / static_cast<double>(report.sent_), "share");
    if (sendKeys)
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
