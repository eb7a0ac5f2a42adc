#include "chervilspring/detail/direct/caller_patience.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

// Callers of streams wait for the longest of these times.
constexpr nanoseconds minPatience = seconds(2);
constexpr int patienceInObjectives = 4;
constexpr int patienceInGapObjectives = 8;

} // namespace

std::optional<nanoseconds> callerPatience(const RouteSpec &route)
{
    if (route.kind_ != RouteKind::Streaming)
        return std::nullopt;
    return std::max({minPatience, nanoseconds(route.objective_) * patienceInObjectives,
                     nanoseconds(route.gapObjective_) * patienceInGapObjectives});
}

} // namespace chervilspring
