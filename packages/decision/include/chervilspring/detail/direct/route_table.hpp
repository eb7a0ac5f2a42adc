/// @file
/// @brief Lookup index of routes, accounts and upstreams, built once for each view.
#pragma once

#include "chervilspring/upstream.hpp"

#include <optional>
#include <unordered_map>

namespace chervilspring {

/// @brief Lookup index of a view. Pointers refer to objects in view_.
struct RouteTable
{
    ViewPointer view_ = std::make_shared<const View>();
    /// Routes by host name, those with the longest path prefix first.
    std::map<std::string, std::vector<const RouteSpec *>, std::less<>> routesByHost_;
    std::unordered_map<std::string, const Account *> accountsByKeyDigest_; ///< see findAccount()
    /// Upstreams that accept new work, by pool name.
    std::map<std::string, std::vector<const Upstream *>> upstreamsByPool_;
    /// Upstreams that accept new work, by upstream name.
    std::map<std::string, const Upstream *> availableUpstreams_;
    /// Names of the upstreams of running trials, which get nothing else if there are others.
    std::vector<std::string> trialUpstreams_;
};

/// @brief Builds the lookup index of a view.
std::shared_ptr<const RouteTable> makeRouteTable(const ViewPointer &view);

/// @brief Finds the route of a request.
/// @param host host name without a port, in lower case
/// @param path path without the query
/// @return the host's route with the longest matching path prefix, or nullptr
const RouteSpec *findRoute(const RouteTable &table, std::string_view host, std::string_view path);

/// @brief Tells whether a request on a route needs the key of an account.
bool needsKey(const RouteTable &table, const RouteSpec &route);

/// @brief Finds the account that a key belongs to.
/// @param key API key as the caller sent it
/// @return the account, or nullptr
const Account *findAccount(const RouteTable &table, std::string_view key);

/// @brief Finds a pool by name.
/// @return the pool, or nullptr
const Pool *findPool(const RouteTable &table, std::string_view name);

/// @brief Selects the pool of a request by weighted random choice.
/// @param randomValue uniformly distributed random number
/// @return name of the pool, empty if the weights of all targets are zero
std::string selectPool(const RouteSpec &route, std::uint64_t randomValue);

} // namespace chervilspring
