/// @file
/// @brief Chooses among the upstreams of a pool that needs no planning, by this entry's statistics.
///
/// Detects slow and failing upstreams that still pass their health checks: the choice depends on
/// the outcomes of this entry's runs and on the number of active ones.
#pragma once

#include "chervilspring/detail/avoidance.hpp"
#include "chervilspring/detail/direct/route_table.hpp"
#include "chervilspring/time.hpp"

namespace chervilspring {

/// @brief This entry's statistics of an upstream.
struct UpstreamStats
{
    std::uint32_t activeRuns_ = 0; ///< runs in progress
    nanoseconds averageTime_{0}; ///< moving average of the time of runs without failure; 0: unknown
    double failureRate_ = 0; ///< moving average of the fraction of failed runs, 0 to 1
    Avoidance avoidance_; ///< backoff after failed runs
};

/// @brief Statistics by upstream name.
using UpstreamTable = std::map<std::string, UpstreamStats>;

/// @brief Returns the cost of another run at an upstream.
///
/// It is the expected time until the end of the run, if the upstream processes its runs one after
/// the other. The failure rate increases it. An upstream without measurements has a default time.
/// @param upstreamStats statistics of the upstream
/// @return the cost in nanoseconds, greater than 0 if the average time is
double expectedCost(const UpstreamStats &upstreamStats);

/// @brief Chooses the upstream of a run: the one with the shortest expected time.
///
/// Upstreams that are in the pause after a failure are chosen only if there is no other.
/// @param upstreams upstreams of the pool
/// @param stats statistics by upstream name
/// @param avoided names of upstreams that are chosen only if there is no other
/// @param randomValue uniformly distributed random number for breaking ties
/// @return the upstream, or nullptr if the pool is empty
const Upstream *chooseUpstream(const std::vector<const Upstream *> &upstreams,
                               const UpstreamTable &stats, const std::vector<std::string> &avoided,
                               std::uint64_t randomValue, Instant now);

/// @brief Records the start of a run.
void recordRunStart(UpstreamTable &stats, const std::string &upstream);

/// @brief Records the end of a run.
/// @param duration time since the start of the run
/// @param failed whether the upstream failed to serve the run; it is then avoided for a while
void recordRunEnd(UpstreamTable &stats, const std::string &upstream, nanoseconds duration,
                  bool failed, Instant now);

/// @brief Removes the statistics of upstreams that are not available and have no active runs.
/// @param table lists the available upstreams
void removeUnlisted(UpstreamTable &stats, const RouteTable &table);

} // namespace chervilspring
