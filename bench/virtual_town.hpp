/// @file
/// @brief Entry and agent reducers against the service model under virtual time.
///
/// Drives the decisions without sockets, so that fleets larger than one machine can be put before
/// the routing and admission code.
#pragma once

#include "standins/service_model.hpp"

#include "chervilspring/detail/agent/agent.hpp"
#include "chervilspring/detail/entry/entry.hpp"

#include <functional>
#include <map>

namespace bench {

using namespace chervilspring;

/// @brief A pool of equal upstreams.
struct VirtualPool
{
    std::string service_;
    int count_ = 1;
    std::uint32_t concurrency_ = 4;
    standins::ServiceModel model_;
};

/// @brief A stream of requests.
struct VirtualLoad
{
    std::string name_;
    std::string pipeline_;
    std::string account_;
    double perSecond_ = 1;
    double burstFactor_ = 1; ///< between burstFrom_ and burstTo_
    nanoseconds burstFrom_{0};
    nanoseconds burstTo_{0};
    milliseconds deadline_{0};
    int maxTokens_ = 0;
};

/// @brief A fault of the run.
struct VirtualFault
{
    std::string service_;
    int affected_ = 0; ///< the first upstreams of the service
    double slowFactor_ = 1; ///< 0: the VM is lost without a word
    nanoseconds from_{0};
    nanoseconds to_{0};
};

/// @brief What to run.
struct VirtualRun
{
    Fleet fleet_;
    std::vector<VirtualPool> pools_;
    std::vector<VirtualLoad> loads_;
    std::vector<VirtualFault> faults_;
    EntryPolicy policy_;
    int entries_ = 2;
    nanoseconds duration_ = seconds(20);
    nanoseconds reportLag_ = milliseconds(400); ///< load reports are this old
    std::uint64_t seed_ = 1;
};

/// @brief Outcome of one load.
struct VirtualOutcome
{
    int sent_ = 0;
    int attained_ = 0;
    int attainedInWindow_ = 0; ///< of requests sent while a fault or burst lasted
    int sentInWindow_ = 0;
    std::map<int, int> errors_; ///< by error id; 0: answered late
};

/// @brief Outcome of a run.
struct VirtualReport
{
    std::map<std::string, VirtualOutcome> loads_;
    std::map<std::string, double> costByStage_;
    std::uint64_t attempts_ = 0;
    double decisionSeconds_ = 0; ///< processor time spent in entry reducers
};

/// @brief Runs to the end of the load plus its longest deadline.
VirtualReport runVirtual(const VirtualRun &run);

} // namespace bench
