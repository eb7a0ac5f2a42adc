/// @file
/// @brief Chooses an upstream for one attempt.
#pragma once

#include "chervilspring/detail/entry/entry.hpp"

namespace chervilspring {

/// @brief The chosen upstream and why.
struct Route
{
    const Upstream *upstream_ = nullptr; ///< nullptr: none
    Decision decision_;
};

/// @brief Upstreams that may serve a stage under a policy, at most maxSubset of them.
/// @note Complexity: linear in the upstreams at the first call for a view, then a look-up.
const std::vector<const Upstream *> &candidatesFor(EntryState &state, const PipelineSpec &pipeline,
                                                   std::uint32_t stage, const Policy &policy);

/// @brief Chooses an upstream.
/// @param state estimates and random numbers
/// @param now local time
/// @param request the request; its tried_ upstreams are avoided while others remain
/// @return the route; upstream_ is nullptr if nothing serves the stage
Route chooseUpstream(EntryState &state, Instant now, const Request &request);

/// @brief Usual service time of a stage of a pipeline: measured, or else the operator's estimate.
nanoseconds usualServiceTime(const EntryState &state, const PipelineSpec &pipeline,
                             std::uint32_t stage);

/// @brief Expected time until an upstream has finished one more attempt.
/// @param estimate what is known of it
/// @param upstream its announcement
/// @param usual usual service time of the stage
/// @param now local time
nanoseconds expectedTime(const UpstreamEstimate &estimate, const Upstream &upstream,
                         nanoseconds usual, Instant now);

/// @brief Smallest time in which the remaining stages can be expected to finish.
nanoseconds expectedTotal(EntryState &state, Instant now, const Request &request);

/// @brief Whether an upstream that has work of this entry has said nothing for longer than its
/// pings explain.
bool isSilent(const UpstreamEstimate &estimate, Instant now);

/// @brief Takes a load report into account.
void noteLoad(EntryState &state, Instant now, const std::string &upstream, const Load &load);

/// @brief Takes the whole result of the request's current attempt into account.
void noteSuccess(EntryState &state, const Request &request, nanoseconds serviceTime);

/// @brief Takes a failure of an upstream into account.
void noteFailure(EntryState &state, Instant now, const std::string &upstream);

} // namespace chervilspring
