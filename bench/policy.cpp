/// @file
/// @brief Attainment and cost by stage of the default policy and of baseline policies, with the
/// same seeds for all policies.
///
/// Usage: bench_policy [SEEDS [target]]. With "target" only the fleet of target size is run. Prints
/// CSV: case,policy,load,sent,attained,attained_in_window,cost.
#include "virtual_town.hpp"

#include "chervilspring/digest.hpp"

#include <cstdio>
#include <cstdlib>

namespace {

using namespace bench;

struct NamedPolicy
{
    const char *name_;
    EntryFeatures policy_;
};

const NamedPolicy policies[] = {
    {"chervilspring", {}},
    {"round_robin", {RoutingMode::RoundRobin, false, true, false, true}},
    {"least_in_flight", {RoutingMode::LeastInFlight, false, true, false, true}},
    {"no_admission", {RoutingMode::Cost, false, true, true, true}},
    {"unlimited_retries", {RoutingMode::LeastInFlight, false, false, false, true}},
};

struct Scenario
{
    const char *name_;
    double loadFactor_;
    double burstFactor_;
    std::vector<SimulatedFault> faults_;
};

const std::vector<Scenario> scenarios = {
    {"steady", 1.0, 1, {}},
    {"burst", 1.0, 4, {}},
    {"slow_stage", 1.0, 1, {{"reranker", 1, 12.0, seconds(6), seconds(14)}}},
    {"slow_model", 1.0, 1, {{"llm", 3, 6.0, seconds(6), seconds(14)}}},
    {"lost_vm", 1.0, 1, {{"llm", 2, 0, seconds(6), seconds(14)}}},
};

Account makeAccount(const std::string &name)
{
    Account account;
    account.name_ = name;
    account.salt_ = name;
    account.credentialDigest_ = credentialDigest(name, name);
    account.requestsPerSecond_ = 1000000;
    account.concurrency_ = 100000;
    return account;
}

Fleet makeFleet()
{
    const StageSpec encode{"encode", "service=encoder", true, false, milliseconds(5), 2};
    const StageSpec retrieve{"retrieve", "service=retriever", true, false, milliseconds(8), 3};
    const StageSpec rerank{"rerank", "service=reranker", true, false, milliseconds(10), 5};
    const StageSpec generate{"generate", "service=llm", true, true, milliseconds(250), 100};
    const StageSpec check{"check", "service=ledger", true, false, milliseconds(10), 1};
    StageSpec book{"book", "service=booking", false, false, milliseconds(15), 1};
    Fleet fleet;
    fleet.pipelines_ = {
        PipelineSpec{
            "long", {{"kind", "long"}}, milliseconds(7000), {encode, retrieve, rerank, generate}},
        PipelineSpec{
            "short", {{"kind", "short"}}, milliseconds(3000), {encode, retrieve, rerank, generate}},
        PipelineSpec{"order", {{"kind", "order"}}, milliseconds(4000), {check, book}}};
    Policy orderRequests;
    orderRequests.name_ = "orders";
    orderRequests.requests_ = "kind=order";
    orderRequests.priority_ = 1;
    Policy shortRequests;
    shortRequests.name_ = "shorts";
    shortRequests.requests_ = "kind=short";
    shortRequests.priority_ = 3;
    fleet.policies_ = {orderRequests, shortRequests};
    for (const char *name : {"large", "small", "desk"})
        fleet.accounts_.push_back(makeAccount(name));
    return fleet;
}

standins::ServiceModel makeService(int meanMs)
{
    standins::ServiceModel model;
    model.meanTime_ = milliseconds(meanMs);
    return model;
}

standins::ServiceModel makeLanguageModel()
{
    standins::ServiceModel model;
    model.kind_ = standins::UpstreamKind::LanguageModel;
    return model;
}

SimulationSpec makeSpec(const Scenario &scenario, const EntryFeatures &policy, std::uint64_t seed)
{
    SimulationSpec spec;
    spec.fleet_ = makeFleet();
    spec.pools_ = {{"encoder", 2, 8, makeService(4)},  {"retriever", 2, 8, makeService(6)},
                   {"reranker", 2, 8, makeService(8)}, {"llm", 12, 16, makeLanguageModel()},
                   {"booking", 3, 4, makeService(10)}, {"ledger", 5, 8, makeService(5)}};
    const double loadFactor = scenario.loadFactor_;
    spec.loads_ = {{"long", "long", "large", 30 * loadFactor, scenario.burstFactor_, seconds(6),
                    seconds(11), milliseconds(6000), 160},
                   {"short", "short", "small", 90 * loadFactor, 1, {}, {}, milliseconds(1500), 16},
                   {"order", "order", "desk", 60 * loadFactor, 1, {}, {}, milliseconds(2000), 0}};
    spec.faults_ = scenario.faults_;
    spec.policy_ = policy;
    spec.seed_ = seed;
    return spec;
}

void runScenario(const Scenario &scenario, const NamedPolicy &policy, int seedCount)
{
    std::map<std::string, LoadOutcome> totals;
    std::map<std::string, double> costByStage;
    for (int seed = 1; seed <= seedCount; ++seed) {
        const SimulationReport report =
            runSimulation(makeSpec(scenario, policy.policy_, static_cast<std::uint64_t>(seed)));
        for (const auto &[name, outcome] : report.loads_) {
            totals[name].sent_ += outcome.sent_;
            totals[name].attained_ += outcome.attained_;
            totals[name].sentInWindow_ += outcome.sentInWindow_;
            totals[name].attainedInWindow_ += outcome.attainedInWindow_;
            for (const auto &[id, count] : outcome.errors_)
                totals[name].errors_[id] += count;
        }
        for (const auto &[stage, value] : report.costByStage_)
            costByStage[stage] += value;
    }
    for (const auto &[name, total] : totals)
        std::printf("%s,%s,%s,%d,%.4f,%.4f,\n", scenario.name_, policy.name_, name.c_str(),
                    total.sent_, static_cast<double>(total.attained_) / std::max(1, total.sent_),
                    static_cast<double>(total.attainedInWindow_)
                        / std::max(1, total.sentInWindow_));
    for (const auto &[name, total] : totals) {
        for (const auto &[id, count] : total.errors_)
            std::printf("%s,%s,error %s CS-%d,%d,,,\n", scenario.name_, policy.name_, name.c_str(),
                        id, count);
    }
    for (const auto &[stage, value] : costByStage)
        std::printf("%s,%s,stage %s,,,,%.1f\n", scenario.name_, policy.name_, stage.c_str(), value);
    std::fflush(stdout);
}

// Simulates the fleet of target size: 600 upstreams and 60 entries.
void runTargetFleet()
{
    SimulationSpec spec;
    spec.fleet_ = makeFleet();
    spec.pools_ = {{"encoder", 60, 8, makeService(4)},  {"retriever", 60, 8, makeService(6)},
                   {"reranker", 60, 8, makeService(8)}, {"llm", 360, 48, makeLanguageModel()},
                   {"booking", 30, 4, makeService(10)}, {"ledger", 30, 8, makeService(5)}};
    spec.loads_ = {{"long", "long", "large", 900, 1, {}, {}, milliseconds(6000), 160},
                   {"short", "short", "small", 2000, 1, {}, {}, milliseconds(1500), 16},
                   {"order", "order", "desk", 1000, 1, {}, {}, milliseconds(2000), 0}};
    spec.entryCount_ = 60;
    spec.duration_ = seconds(3);
    const SimulationReport report = runSimulation(spec);
    int sent = 0;
    for (const auto &[name, outcome] : report.loads_) {
        sent += outcome.sent_;
        std::printf("target_600_upstreams,chervilspring,%s,%d,%.4f,,\n", name.c_str(),
                    outcome.sent_,
                    static_cast<double>(outcome.attained_) / std::max(1, outcome.sent_));
    }
    std::printf("target_600_upstreams,decision_us_per_request,%.1f,,,,\n",
                report.decisionSeconds_ / std::max(1, sent) * 1e6);
}

} // namespace

int main(int argc, char **argv)
{
    const int seedCount = argc > 1 ? std::atoi(argv[1]) : 3;
    std::printf("case,policy,load,sent,attained,attained_in_window,cost\n");
    if (argc > 2) {
        runTargetFleet();
        return 0;
    }
    for (const Scenario &scenario : scenarios) {
        for (const NamedPolicy &policy : policies)
            runScenario(scenario, policy, seedCount);
    }
    return 0;
}
