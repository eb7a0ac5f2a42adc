/// @file
/// @brief Runs both users' workloads through a whole fleet of separate processes.
///
/// Usage: demo EXAMPLES_FOLDER PROGRAMS_FOLDER WORK_FOLDER
#include "standins/town.hpp"

#include <boost/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <set>

namespace {

using namespace standins;

constexpr auto loadDuration = milliseconds(5000);

void printAnswers(const LoadReport &report)
{
    for (const auto &[name, workload] : report)
        std::cout << "  " << name << ": \"" << workload.sample_.substr(0, 70) << "\"\n";
}

void printAttainment(const LoadReport &report)
{
    std::printf("\n  %-20s %6s %9s %8s %7s %9s %9s %12s\n", "workload", "sent", "attained", "share",
                "late", "p50 ms", "p95 ms", "1st token ms");
    for (const auto &[name, w] : report)
        std::printf(
            "  %-20s %6llu %9llu %7.1f%% %7llu %9.1f %9.1f %12.1f\n", name.c_str(),
            static_cast<unsigned long long>(w.sent_), static_cast<unsigned long long>(w.attained_),
            w.sent_ ? 100.0 * static_cast<double>(w.attained_) / static_cast<double>(w.sent_) : 0.0,
            static_cast<unsigned long long>(w.late_), quantile(w.latenciesMs_, 0.5),
            quantile(w.latenciesMs_, 0.95), quantile(w.firstTokenTimesMs_, 0.95));
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

// Everything that must not happen, in one sentence each.
std::vector<std::string> findFaults(const FleetFixture &fixture, const LoadReport &report)
{
    std::vector<std::string> faults;
    const auto runs = fixture.runs();
    for (const auto &[marker, count] : runs) {
        if (count > 1)
            faults.push_back(marker + " ran " + std::to_string(count) + " times");
    }
    for (const auto &[name, w] : report) {
        const std::uint64_t lost = w.sent_ - w.attained_;
        if (lost == 0)
            continue;
        std::string fault = name + ": " + std::to_string(lost) + " not attained (late "
            + std::to_string(w.late_) + ", refused " + std::to_string(w.rejected_) + ", failed "
            + std::to_string(w.failed_) + ", crossed " + std::to_string(w.mismatched_) + ", cut "
            + std::to_string(w.incomplete_) + ")";
        for (const auto &[id, count] : w.errors_)
            fault += " " + id + "=" + std::to_string(count);
        faults.push_back(fault);
    }
    return faults;
}

void printDecisions(FleetFixture &fixture, const Deployment &town)
{
    const Workload &workload = town.workloads_.front();
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

bool runDeployment(const Deployment &town, const std::filesystem::path &examples,
                   const FixturePaths &paths)
{
    std::cout << "\n== " << town.name_ << ": " << town.upstreams_.size()
              << " upstreams, 3 control processes, 2 entries ==\n\n";
    FleetFixture fixture(paths);
    const std::string problem = startDeployment(fixture, town, examples);
    if (!problem.empty()) {
        std::cout << problem << "\n";
        return false;
    }
    LoadSpec load;
    load.entryPorts_ = {fixture.httpPort("e1"), fixture.httpPort("e2")};
    load.workloads_ = town.workloads_;
    load.duration_ = loadDuration;
    const LoadReport report = runLoad(load);
    printAnswers(report);
    printAttainment(report);
    printCost(fixture);
    printDecisions(fixture, town);
    const std::vector<std::string> unclean = fixture.stopAll();
    for (const std::string &name : unclean)
        std::cout << "  " << name << " did not stop cleanly\n";
    const std::vector<std::string> faults = findFaults(fixture, report);
    for (const std::string &fault : faults)
        std::cout << "  FAULT: " << fault << "\n";
    std::cout << "\n  stopped gracefully: " << (unclean.empty() ? "yes" : "no") << "\n";
    return faults.empty() && unclean.empty();
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: demo EXAMPLES_FOLDER PROGRAMS_FOLDER WORK_FOLDER\n";
        return 1;
    }
    const std::filesystem::path work = argv[3];
    const bool first = runDeployment(hivewright(DeploymentSize::Demo), argv[1],
                                     FixturePaths{argv[2], work / "hivewright"});
    const bool second = runDeployment(zamasekKrog(DeploymentSize::Demo), argv[1],
                                      FixturePaths{argv[2], work / "zamasek_krog"});
    std::cout << "\n"
              << (first && second ? "all answered, none lost, doubled or late"
                                  : "the demo found faults")
              << "\n";
    return first && second ? 0 : 1;
}
