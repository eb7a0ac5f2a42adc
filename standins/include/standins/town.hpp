/// @file
/// @brief Upstreams and workloads of the two users' deployments.
#pragma once

#include "standins/fleet_fixture.hpp"
#include "standins/load.hpp"

namespace standins {

/// @brief A deployment.
struct Deployment
{
    std::string name_;
    std::string fleetFile_; ///< file name of the fleet configuration in examples/
    std::vector<UpstreamSpec> upstreams_;
    std::vector<Workload> workloads_;
};

/// @brief Number of upstreams of a deployment: few for the demo, or as many as the user runs today.
enum class DeploymentSize { Demo, Today };

/// @brief Deployment of Hivewright Ledger: blend notes, batch questions, honey orders.
Deployment hivewright(DeploymentSize size);

/// @brief Deployment of Zamasek Krog: report summaries, counter questions, pickup confirmations.
Deployment zamasekKrog(DeploymentSize size);

/// @brief Starts 3 control processes, 2 entries and the upstreams of a deployment, and applies its
/// fleet configuration.
/// @param fixture fixture that runs the processes
/// @param deployment deployment to start
/// @param examplesFolder folder of the fleet configurations
/// @return empty if all processes are ready, else an error message
std::string startDeployment(FleetFixture &fixture, const Deployment &deployment,
                            const std::filesystem::path &examplesFolder);

} // namespace standins
