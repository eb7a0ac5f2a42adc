/// @file
/// @brief Discrete-event simulation of entry and agent reducers with the service model.
///
/// Runs in virtual time and without sockets, so that routing and admission can be measured with
/// fleets larger than one VM can run.
#pragma once

#include "standins/service_model.hpp"

#include "chervilspring/detail/agent/agent.hpp"
#include "chervilspring/detail/entry/entry.hpp"

#include <functional>
#include <map>

namespace bench {

using namespace chervilspring;

/// @brief A pool of identical upstreams.
struct SimulatedPool
{
    std::string service_;
    int count_ = 1;
    std::uint32_t concurrency_ = 4;
    standins::ServiceModel model_;
};

/// @brief Poisson arrivals of one kind of request.
struct SimulatedLoad
{
    std::string name_;
    std::string pipeline_;
    std::string account_;
    double requestsPerSecond_ = 1;
    double burstFactor_ = 1; ///< multiplies the rate between burstFrom_ and burstTo_
    nanoseconds burstFrom_{0}; ///< since the start
    nanoseconds burstTo_{0}; ///< since the start
    milliseconds deadline_{0};
    int maxTokens_ = 0; ///< length of generated text
};

/// @brief A fault of some upstreams for a time.
struct SimulatedFault
{
    std::string service_;
    int affectedCount_ = 0; ///< affects this number of upstreams, the first ones of the service
    double slowFactor_ = 1; ///< multiplies service times; 0 makes the VM stop responding
    nanoseconds from_{0}; ///< since the start
    nanoseconds to_{0}; ///< since the start
};

/// @brief Parameters of a simulation.
struct SimulationSpec
{
    Fleet fleet_;
    std::vector<SimulatedPool> pools_;
    std::vector<SimulatedLoad> loads_;
    std::vector<SimulatedFault> faults_;
    EntryFeatures policy_;
    int entryCount_ = 2;
    nanoseconds duration_ = seconds(20);
    nanoseconds reportDelay_ = milliseconds(400); ///< until a load report reaches an entry
    std::uint64_t seed_ = 1;
};

/// @brief Outcomes of the requests of one load.
struct LoadOutcome
{
    int sent_ = 0;
    int attained_ = 0; ///< answered without an error within the deadline
    int attainedInWindow_ = 0; ///< attained requests that were sent during a fault or burst
    int sentInWindow_ = 0; ///< requests that were sent during a fault or burst
    std::map<int, int> errors_; ///< by error id; 0 counts late responses
};

/// @brief Result of a simulation.
struct SimulationReport
{
    std::map<std::string, LoadOutcome> loads_;
    std::map<std::string, double> costByStage_; ///< in cost units
    std::uint64_t attempts_ = 0; ///< of all stages
    double decisionSeconds_ = 0; ///< CPU time of the entry reducers
};

/// @brief Runs to the end of the load plus its longest deadline.
SimulationReport runSimulation(const SimulationSpec &spec);

} // namespace bench
