/// @file
/// @brief Runs the workloads of two deployments, each against a fleet of separate processes.
///
/// Usage: demo EXAMPLES_FOLDER PROGRAMS_FOLDER WORK_FOLDER
#include "standins/deployments.hpp"

#include <boost/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <set>

namespace {

using namespace standins;

constexpr auto loadDuration = milliseconds(5000);

void printSamples(const LoadReport &report)
{
    for (const auto &[name, workload] : report)
        std::cout << "  " << name << ": \"" << workload.sample_.substr(0, 70) << "\"\n";
}

void printAttainment(const LoadReport &report)
{
    std::printf("\n  %-20s %6s %9s %8s %7s %9s %9s %12s\n", "workload", "sent", "attained", "share",
                "late", "p50 ms", "p95 ms", "1st token ms");
    for (const auto &[name, workload] : report)
        std::printf("  %-20s %6llu %9llu %7.1f%% %7llu %9.1f %9.1f %12.1f\n", name.c_str(),
                    static_cast<unsigned long long>(workload.sent_),
                    static_cast<unsigned long long>(workload.attained_),
                    workload.sent_ ? 100.0 * static_cast<double>(workload.attained_)
                            / static_cast<double>(workload.sent_)
                                   : 0.0,
                    static_cast<unsigned long long>(workload.late_),
                    quantile(workload.latenciesMs_, 0.5), quantile(workload.latenciesMs_, 0.95),
                    quantile(workload.firstTokenTimesMs_, 0.95));
}

void printCost(FleetFixture &fixture)
{
    struct Row
    {
        double cost_ = 0;
        std::int64_t attempts_ = 0;
    };
    std::map<std::string, Row> rows;
    for (const char *entry : {"e1", "e2"}) {
        const auto usage = boost::json::parse(fixture.http(entry, "GET", "/v1/usage").body_);
        for (const auto &stage : usage.at("stages").as_array()) {
            Row &row = rows[std::string(stage.at("pipeline").as_string()) + " / "
                            + std::string(stage.at("stage").as_string())];
            row.cost_ += stage.at("cost").to_number<double>();
            row.attempts_ += stage.at("attempts").to_number<std::int64_t>();
        }
    }
    std::printf("\n  %-40s %9s %11s\n", "stage", "attempts", "cost units");
    for (const auto &[name, row] : rows)
        std::printf("  %-40s %9lld %11.2f\n", name.c_str(), static_cast<long long>(row.attempts_),
                    row.cost_);
}

// Describes each booking that ran more than once and each workload with requests that were not
// attained.
std::vector<std::string> findViolations(const FleetFixture &fixture, const LoadReport &report)
{
    std::vector<std::string> violations;
    const auto runs = fixture.runs();
    for (const auto &[marker, count] : runs) {
        if (count > 1)
            violations.push_back(marker + " ran " + std::to_string(count) + " times");
    }
    for (const auto &[name, workload] : report) {
        const std::uint64_t notAttained = workload.sent_ - workload.attained_;
        if (notAttained == 0)
            continue;
        std::string violation = name + ": " + std::to_string(notAttained) + " not attained (late "
            + std::to_string(workload.late_) + ", rejected " + std::to_string(workload.rejected_)
            + ", failed " + std::to_string(workload.failed_) + ", mismatched "
            + std::to_string(workload.mismatched_) + ", incomplete "
            + std::to_string(workload.incomplete_) + ")";
        for (const auto &[id, count] : workload.errors_)
            violation += " " + id + "=" + std::to_string(count);
        violations.push_back(violation);
    }
    return violations;
}

void printDecisions(FleetFixture &fixture, const Deployment &deployment)
{
    const Workload &workload = deployment.workloads_.front();
    const CallerAnswer answer =
        fixture.call("e1", workload.pipeline_, workload.credential_,
                     R"({"question": "one more", "marker": "explained", "max_tokens": 4})");
    std::cout << "\n  decisions of request " << answer.requestId_ << ":\n";
    fixture.ctl({"--entry=127.0.0.1:" + std::to_string(fixture.httpPort("e1")), "explain",
                 answer.requestId_});
    std::cout << fixture.lastOutput();
    for (const std::string &name : fixture.names()) {
        std::ifstream log(fixture.logFile(name));
        for (std::string line; std::getline(log, line);) {
            if (line.find("request=" + answer.requestId_) != std::string::npos)
                std::cout << "  [" << name << "] " << line << "\n";
        }
    }
}

bool runDeployment(const Deployment &deployment, const std::filesystem::path &examplesFolder,
                   const FixturePaths &paths)
{
    std::cout << "\n== " << deployment.name_ << ": " << deployment.upstreams_.size()
              << " upstreams, 3 control processes, 2 entries ==\n\n";
    FleetFixture fixture(paths);
    const std::string startError = startDeployment(fixture, deployment, examplesFolder);
    if (!startError.empty()) {
        std::cout << startError << "\n";
        return false;
    }
    LoadSpec load;
    load.entryPorts_ = {fixture.httpPort("e1"), fixture.httpPort("e2")};
    load.workloads_ = deployment.workloads_;
    load.duration_ = loadDuration;
    const LoadReport report = runLoad(load);
    printSamples(report);
    printAttainment(report);
    printCost(fixture);
    printDecisions(fixture, deployment);
    const std::vector<std::string> notStopped = fixture.stopAll();
    for (const std::string &name : notStopped)
        std::cout << "  " << name << " did not stop gracefully\n";
    const std::vector<std::string> violations = findViolations(fixture, report);
    for (const std::string &violation : violations)
        std::cout << "  FAULT: " << violation << "\n";
    std::cout << "\n  stopped gracefully: " << (notStopped.empty() ? "yes" : "no") << "\n";
    return violations.empty() && notStopped.empty();
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: demo EXAMPLES_FOLDER PROGRAMS_FOLDER WORK_FOLDER\n";
        return 1;
    }
    const std::filesystem::path workFolder = argv[3];
    const bool firstPassed = runDeployment(hivewright(DeploymentSize::Demo), argv[1],
                                           FixturePaths{argv[2], workFolder / "hivewright"});
    const bool secondPassed = runDeployment(zamasekKrog(DeploymentSize::Demo), argv[1],
                                            FixturePaths{argv[2], workFolder / "zamasek_krog"});
    std::cout << "\n"
              << (firstPassed && secondPassed ? "all requests were answered once and in time"
                                              : "the demo failed; see the messages above")
              << "\n";
    return firstPassed && secondPassed ? 0 : 1;
}
