/// @file
/// @brief Chooses upstreams by a weighted rotation: even load from statistics that are old.
///
/// Entries that all take the cheapest upstream by old statistics meet at the same one. Here each
/// entry spreads its own requests by the speed of the upstreams, so no entry has to know of others.
#pragma once

#include "chervilspring/detail/direct/upstream_choice.hpp"

namespace chervilspring {

/// @brief Progress of an entry's rotation among the upstreams of a pool.
struct Rotation
{
    /// Runs that each upstream is due, by upstream name. The one with the most is next.
    std::map<std::string, double> credits_;
};

/// @brief Returns the upstreams that a run may be sent to by the rules of chooseUpstream().
/// @param upstreams upstreams of the pool
/// @param stats statistics by upstream name
/// @param avoided names of upstreams that are used only if there is no other
/// @return the upstreams that are neither avoided nor in the pause after a failure; all upstreams
///         if there are none
std::vector<const Upstream *> preferredUpstreams(const std::vector<const Upstream *> &upstreams,
                                                 const UpstreamTable &stats,
                                                 const std::vector<std::string> &avoided,
                                                 Instant now);

/// @brief Chooses the upstream of a run: each gets a share inverse to its expected cost.
///
/// The failure rate lowers the share by the square of the factor that it has in the cost.
/// Upstreams that are avoided or in the pause after a failure earn no credit meanwhile, so they
/// don't get a burst of requests afterwards.
/// @param rotation progress in this pool; upstreams that aren't in the pool are removed
/// @param upstreams upstreams of the pool
/// @param stats statistics by upstream name
/// @param avoided names of upstreams that are chosen only if there is no other
/// @param randomValue uniformly distributed random number; sets where new upstreams join
/// @return the upstream, or nullptr if the pool is empty
const Upstream *chooseEvenly(Rotation &rotation, const std::vector<const Upstream *> &upstreams,
                             const UpstreamTable &stats, const std::vector<std::string> &avoided,
                             std::uint64_t randomValue, Instant now);

} // namespace chervilspring
