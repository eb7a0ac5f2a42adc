/// @file
/// @brief Chooses an upstream for an attempt and keeps the estimates that the choice is based on.
#pragma once

#include "chervilspring/detail/entry/entry.hpp"

namespace chervilspring {

/// @brief A chosen upstream and the reasons for it.
struct Route
{
    const Upstream *upstream_ = nullptr; ///< nullptr: no upstream serves the stage
    Decision decision_;
};

/// @brief Upstreams that may serve a stage under a policy; if there are many, a subset of them that
/// is stable for the entry.
/// @note Complexity: linear in the number of upstreams at the first call for a view, then one
/// look-up.
const std::vector<const Upstream *> &candidatesFor(EntryState &state, const PipelineSpec &pipeline,
                                                   std::uint32_t stage, const Policy &policy);

/// @brief Chooses an upstream.
/// @param state provides the estimates and the random numbers
/// @param now local time
/// @param request the request; its tried_ upstreams are avoided while others remain
/// @return the route; upstream_ is nullptr if no upstream serves the stage
Route chooseUpstream(EntryState &state, Instant now, const Request &request);

/// @brief Moving mean of a stage's service time; the configured estimate until one was measured.
nanoseconds usualServiceTime(const EntryState &state, const PipelineSpec &pipeline,
                             std::uint32_t stage);

/// @brief Expected time until an upstream finishes one more attempt.
/// @param estimate estimates of the upstream
/// @param upstream the announced upstream, with its concurrency
/// @param usual usual service time of the stage
/// @param now local time
/// @return waiting and service time
nanoseconds expectedTime(const UpstreamEstimate &estimate, const Upstream &upstream,
                         nanoseconds usual, Instant now);

/// @brief Expected time of the current and all later stages, each at its fastest candidate. Stages
/// without a candidate count as 0.
nanoseconds expectedTotal(EntryState &state, Instant now, const Request &request);

/// @brief Whether an upstream that runs attempts of this shard has sent no message for longer than
/// the interval of its pings explains.
bool isSilent(const UpstreamEstimate &estimate, Instant now);

/// @brief Updates the estimates of an upstream from a load report.
void noteLoad(EntryState &state, Instant now, const std::string &upstream, const Load &load);

/// @brief Updates the estimates from the successful result of the request's current attempt.
void noteSuccess(EntryState &state, const Request &request, nanoseconds serviceTime);

/// @brief Counts a failure of an upstream, and ejects the upstream after several consecutive ones.
void noteFailure(EntryState &state, Instant now, const std::string &upstream);

} // namespace chervilspring
