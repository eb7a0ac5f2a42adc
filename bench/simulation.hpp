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
    int count_ = 1; ///< number of upstreams
    std::uint32_t concurrency_ = 4; ///< number of calls that an upstream runs at once
    standins::ServiceModel model_;
};

/// @brief Poisson arrivals of one kind of request.
struct SimulatedLoad
{
    std::string name_;
    std::string pipeline_;
    std::string account_;
    double requestsPerSecond_ = 1; ///< mean rate outside a burst
    double burstFactor_ = 1; ///< multiplies the rate between burstFrom_ and burstTo_
    nanoseconds burstFrom_{0}; ///< time since the start of the simulation
    nanoseconds burstTo_{0}; ///< time since the start of the simulation
    milliseconds deadline_{0};
    int maxTokens_ = 0; ///< length of generated text
};

/// @brief A temporary fault of some upstreams.
struct SimulatedFault
{
    std::string service_;
    int affectedCount_ = 0; ///< affects this number of upstreams, the first ones of the service
    double slowFactor_ = 1; ///< multiplies service times; 0 makes the VM stop responding
    nanoseconds from_{0}; ///< time since the start of the simulation
    nanoseconds to_{0}; ///< time since the start of the simulation
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
    nanoseconds duration_ = seconds(20); ///< virtual time during which requests are sent
    nanoseconds reportDelay_ = milliseconds(400); ///< time until a load report reaches an entry
    std::uint64_t seed_ = 1;
};

/// @brief Outcomes of the requests of one load.
struct LoadOutcome
{
    int sent_ = 0; ///< number of all requests
    int attained_ = 0; ///< answered without an error within the deadline
    int attainedInWindow_ = 0; ///< attained requests that were sent during a fault or burst
    int sentInWindow_ = 0; ///< requests that were sent during a fault or burst
    std::map<int, int> errors_; ///< number by error id; 0 counts late responses
};

/// @brief Result of a simulation.
struct SimulationReport
{
    std::map<std::string, LoadOutcome> loads_; ///< by name of the load
    std::map<std::string, double> costByStage_; ///< in cost units, by stage name
    std::uint64_t attempts_ = 0; ///< number of attempts of all stages
    double decisionSeconds_ = 0; ///< CPU time of the entry reducers
};

/// @brief Runs a simulation until 12 s of virtual time after the end of the load, which is longer
/// than the longest deadline.
SimulationReport runSimulation(const SimulationSpec &spec);

} // namespace bench
