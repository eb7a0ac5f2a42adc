/// @file
/// @brief Chooses among the upstreams of a plain pool by this entry's own experience.
///
/// Answers slow and failing upstreams whose health answers are good: what counts is how calls from
/// here went, and how many are open.
#pragma once

#include "chervilspring/detail/avoidance.hpp"
#include "chervilspring/detail/direct/route_table.hpp"
#include "chervilspring/time.hpp"

namespace chervilspring {

/// @brief What this entry has seen of an upstream.
struct UpstreamRecord
{
    std::uint32_t open_ = 0; ///< runs under way
    nanoseconds usualTime_{0}; ///< moving mean until the end of a run; 0: unknown
    double failureShare_ = 0; ///< moving mean of failed runs
    Avoidance avoidance_;
};

using UpstreamTable = std::map<std::string, UpstreamRecord>;

/// @brief Chooses the upstream of a run.
/// @param members of the pool
/// @param avoid upstreams that this request shall not go to, unless there is no other
/// @param draw a random number that decides among equals
/// @return the upstream, or nullptr if the pool is empty
const Upstream *chooseUpstream(const std::vector<const Upstream *> &members,
                               const UpstreamTable &records, const std::vector<std::string> &avoid,
                               std::uint64_t draw, Instant now);

/// @brief Notes the start of a run.
void noteStart(UpstreamTable &records, const std::string &upstream);

/// @brief Notes the end of a run.
/// @param failed the upstream did not do what it should have
void noteEnd(UpstreamTable &records, const std::string &upstream, nanoseconds took, bool failed,
             Instant now);

/// @brief Forgets upstreams that a table doesn't list and that run nothing.
void forgetUnlisted(UpstreamTable &records, const RouteTable &table);

} // namespace chervilspring
