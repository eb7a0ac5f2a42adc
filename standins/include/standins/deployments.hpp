/// @file
/// @brief Upstreams and workloads of two deployments, those of the fleet files in examples/.
#pragma once

#include "standins/fleet_fixture.hpp"
#include "standins/load.hpp"

namespace standins {

/// @brief Upstreams and workloads of one user of the system.
struct Deployment
{
    std::string name_; ///< name of the user
    std::string fleetFile_; ///< file name of the fleet configuration in examples/
    std::vector<UpstreamSpec> upstreams_;
    std::vector<Workload> workloads_;
};

/// @brief Number of upstreams of a deployment.
enum class DeploymentSize {
    Demo, ///< as few as the demo needs
    Full, ///< as many as the user runs
};

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
