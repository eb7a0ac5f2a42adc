/// @file
/// @brief Attainment and cost by stage of the policy and of the baselines, paired by seed.
///
/// Usage: bench_policy [SEEDS [target]]. With "target" only the target's fleet is run. Prints CSV:
/// case,policy,load,sent,attained,attained_in_window,cost.
#include "virtual_town.hpp"

#include "chervilspring/digest.hpp"

#include <cstdio>
#include <cstdlib>

namespace {

using namespace bench;

struct NamedPolicy
{
    const char *name_;
    EntryPolicy policy_;
};

const NamedPolicy policies[] = {
    {"chervilspring", {}},
    {"round_robin", {RoutingMode::RoundRobin, false, true, false, true}},
    {"least_in_flight", {RoutingMode::LeastInFlight, false, true, false, true}},
    {"no_admission", {RoutingMode::Cost, false, true, true, true}},
    {"unlimited_retries", {RoutingMode::LeastInFlight, false, false, false, true}},
};

struct Case
{
    const char *name_;
    double loadFactor_;
    double burstFactor_;
    std::vector<VirtualFault> faults_;
};

const std::vector<Case> cases = {
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
    Policy orders;
    orders.name_ = "orders";
    orders.requests_ = "kind=order";
    orders.priority_ = 1;
    Policy shorts;
    shorts.name_ = "shorts";
    shorts.requests_ = "kind=short";
    shorts.priority_ = 3;
    fleet.policies_ = {orders, shorts};
    for (const char *name : {"large", "small", "desk"})
        fleet.accounts_.push_back(makeAccount(name));
    return fleet;
}

standins::ServiceModel service(int milliseconds)
{
    standins::ServiceModel model;
    model.meanTime_ = chervilspring::milliseconds(milliseconds);
    return model;
}

standins::ServiceModel languageModel()
{
    standins::ServiceModel model;
    model.kind_ = standins::UpstreamKind::LanguageModel;
    return model;
}

VirtualRun makeRun(const Case &item, const EntryPolicy &policy, std::uint64_t seed)
{
    VirtualRun run;
    run.fleet_ = makeFleet();
    run.pools_ = {{"encoder", 2, 8, service(4)},  {"retriever", 2, 8, service(6)},
                  {"reranker", 2, 8, service(8)}, {"llm", 12, 16, languageModel()},
                  {"booking", 3, 4, service(10)}, {"ledger", 5, 8, service(5)}};
    const double f = item.loadFactor_;
    run.loads_ = {{"long", "long", "large", 30 * f, item.burstFactor_, seconds(6), seconds(11),
                   milliseconds(6000), 160},
                  {"short", "short", "small", 90 * f, 1, {}, {}, milliseconds(1500), 16},
                  {"order", "order", "desk", 60 * f, 1, {}, {}, milliseconds(2000), 0}};
    run.faults_ = item.faults_;
    run.policy_ = policy;
    run.seed_ = seed;
    return run;
}

void runCase(const Case &item, const NamedPolicy &named, int seeds)
{
    std::map<std::string, VirtualOutcome> sums;
    std::map<std::string, double> cost;
    for (int seed = 1; seed <= seeds; ++seed) {
        const VirtualReport report =
            runVirtual(makeRun(item, named.policy_, static_cast<std::uint64_t>(seed)));
        for (const auto &[name, outcome] : report.loads_) {
            sums[name].sent_ += outcome.sent_;
            sums[name].attained_ += outcome.attained_;
            sums[name].sentInWindow_ += outcome.sentInWindow_;
            sums[name].attainedInWindow_ += outcome.attainedInWindow_;
            for (const auto &[id, count] : outcome.errors_)
                sums[name].errors_[id] += count;
        }
        for (const auto &[stage, value] : report.costByStage_)
            cost[stage] += value;
    }
    for (const auto &[name, sum] : sums)
        std::printf("%s,%s,%s,%d,%.4f,%.4f,\n", item.name_, named.name_, name.c_str(), sum.sent_,
                    static_cast<double>(sum.attained_) / std::max(1, sum.sent_),
                    static_cast<double>(sum.attainedInWindow_) / std::max(1, sum.sentInWindow_));
    for (const auto &[name, sum] : sums) {
        for (const auto &[id, count] : sum.errors_)
            std::printf("%s,%s,error %s CS-%d,%d,,,\n", item.name_, named.name_, name.c_str(), id,
                        count);
    }
    for (const auto &[stage, value] : cost)
        std::printf("%s,%s,stage %s,,,,%.1f\n", item.name_, named.name_, stage.c_str(), value);
    std::fflush(stdout);
}

// The target's fleet before the routing and admission code.
void runTarget()
{
    VirtualRun run;
    run.fleet_ = makeFleet();
    run.pools_ = {{"encoder", 60, 8, service(4)},  {"retriever", 60, 8, service(6)},
                  {"reranker", 60, 8, service(8)}, {"llm", 360, 48, languageModel()},
                  {"booking", 30, 4, service(10)}, {"ledger", 30, 8, service(5)}};
    run.loads_ = {{"long", "long", "large", 900, 1, {}, {}, milliseconds(6000), 160},
                  {"short", "short", "small", 2000, 1, {}, {}, milliseconds(1500), 16},
                  {"order", "order", "desk", 1000, 1, {}, {}, milliseconds(2000), 0}};
    run.entries_ = 60;
    run.duration_ = seconds(3);
    const VirtualReport report = runVirtual(run);
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
    const int seeds = argc > 1 ? std::atoi(argv[1]) : 3;
    std::printf("case,policy,load,sent,attained,attained_in_window,cost\n");
    if (argc > 2) {
        runTarget();
        return 0;
    }
    for (const Case &item : cases) {
        for (const NamedPolicy &named : policies)
            runCase(item, named, seeds);
    }
    return 0;
}
