/// @file
/// @brief How long callers wait for the next event of a stream.
///
/// A caller that gives up a stream makes all work for it useless, long before its deadline.
/// Designed for overload: requests whose callers are about to leave must neither be admitted nor be
/// processed before those that still can be served.
#pragma once

#include "chervilspring/fleet.hpp"

namespace chervilspring {

/// @brief Returns the time without an event, before the first one too, after which callers give up
/// a stream of a route.
/// @return the time; no value if the route has no streams
/// @since 0.2.0
std::optional<nanoseconds> callerPatience(const RouteSpec &route);

} // namespace chervilspring
