#include "standins/deployments.hpp"

namespace standins {

namespace {

constexpr auto startTimeout = milliseconds(20000);

struct PoolSpec
{
    std::string service_;
    std::string kind_;
    int demoCount_;
    int fullCount_;
    int concurrency_;
    int meanMicroseconds_;
};

std::vector<UpstreamSpec> makeUpstreams(const std::vector<PoolSpec> &pools, DeploymentSize size)
{
    std::vector<UpstreamSpec> upstreams;
    for (const PoolSpec &pool : pools) {
        const int count = size == DeploymentSize::Demo ? pool.demoCount_ : pool.fullCount_;
        for (int i = 1; i <= count; ++i) {
            UpstreamSpec spec;
            spec.name_ = pool.service_ + "-" + std::to_string(i);
            spec.kind_ = pool.kind_;
            spec.labels_ = "service=" + pool.service_;
            spec.dataCenter_ = "dc" + std::to_string(1 + i % 3);
            spec.concurrency_ = pool.concurrency_;
            spec.meanMicroseconds_ = pool.meanMicroseconds_;
            upstreams.push_back(spec);
        }
    }
    return upstreams;
}

} // namespace

Deployment hivewright(DeploymentSize size)
{
    Deployment deployment;
    deployment.name_ = "Hivewright Ledger";
    deployment.fleetFile_ = "hivewright.ini";
    deployment.upstreams_ = makeUpstreams({{"encoder", "service", 2, 2, 8, 4000},
                                           {"retriever", "service", 2, 2, 8, 6000},
                                           {"reranker", "service", 2, 2, 8, 8000},
                                           {"llm", "llm", 3, 12, 16, 0},
                                           {"order-booking", "booking", 2, 3, 4, 10000},
                                           {"cellar-ledger", "service", 1, 5, 8, 5000},
                                           {"apiary-record", "service", 0, 4, 8, 5000},
                                           {"delivery-notice", "service", 0, 5, 8, 5000}},
                                          size);
    deployment.workloads_ = {{"blend note", "blend-note", "meadery-north-credential", 3,
                              milliseconds(6000), 48, true, false,
                              "draft a blend note for heather and lime honey"},
                             {"batch question", "batch-question", "cooperative-wye-credential", 8,
                              milliseconds(2500), 10, false, false, "is batch 7 ready?"},
                             {"honey order", "honey-order", "buyers-desk-credential", 10,
                              milliseconds(3000), 0, false, true, "120 kg of heather honey"}};
    return deployment;
}

Deployment zamasekKrog(DeploymentSize size)
{
    Deployment deployment;
    deployment.name_ = "Zamasek Krog";
    deployment.fleetFile_ = "zamasek_krog.ini";
    deployment.upstreams_ = makeUpstreams({{"encoder", "service", 2, 2, 8, 4000},
                                           {"retriever", "service", 2, 2, 8, 6000},
                                           {"reranker", "service", 2, 2, 8, 8000},
                                           {"llm", "llm", 3, 9, 16, 0},
                                           {"pickup", "booking", 2, 3, 4, 10000},
                                           {"stock-ledger", "service", 1, 5, 8, 5000},
                                           {"billing", "service", 0, 3, 8, 5000},
                                           {"portal", "service", 0, 5, 8, 5000}},
                                          size);
    deployment.workloads_ = {
        {"report summary", "report-summary", "head-office-credential", 3, milliseconds(6500), 80,
         true, false, "summarise the intake report of June"},
        {"counter question", "counter-question", "franchise-celje-credential", 8,
         milliseconds(2500), 10, false, false, "what is the price of a bag of corks?"},
        {"pickup confirmation", "pickup-confirmation", "drivers-credential", 10, milliseconds(3000),
         0, false, true, "12 bags at stop 4"}};
    return deployment;
}

std::string startDeployment(FleetFixture &fixture, const Deployment &deployment,
                            const std::filesystem::path &examplesFolder)
{
    fixture.startControls(3);
    fixture.startEntry("e1", "dc1");
    fixture.startEntry("e2", "dc2");
    for (const UpstreamSpec &spec : deployment.upstreams_)
        fixture.startUpstream(spec);
    if (!fixture.waitServing(static_cast<int>(deployment.upstreams_.size()), startTimeout))
        return "upstreams did not register in time: " + fixture.lastOutput();
    if (fixture.ctl({"apply", (examplesFolder / deployment.fleetFile_).string()}) != 0)
        return "apply failed: " + fixture.lastOutput();
    for (const char *entry : {"e1", "e2"}) {
        if (!fixture.waitReady(entry, startTimeout))
            return std::string(entry) + " did not become ready";
    }
    return {};
}

} // namespace standins
