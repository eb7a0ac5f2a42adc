/// @file
/// @brief Look-up of routes, accounts and pool members, made once for each view.
#pragma once

#include "chervilspring/upstream.hpp"

#include <optional>
#include <unordered_map>

namespace chervilspring {

/// @brief A view prepared for look-ups. Pointers are into view_.
struct RouteTable
{
    ViewPointer view_ = std::make_shared<const View>();
    std::map<std::string, std::vector<const RouteSpec *>, std::less<>> byHost_; ///< longest first
    std::unordered_map<std::string, const Account *> byKeyDigest_;
    std::map<std::string, std::vector<const Upstream *>> members_; ///< by pool
    std::map<std::string, const Upstream *> upstreams_; ///< that take new work, by name
};

/// @brief Prepares a view.
std::shared_ptr<const RouteTable> makeRouteTable(const ViewPointer &view);

/// @brief Finds the route of a request.
/// @param host without a port
/// @param path without the query
/// @return the route of that host with the longest prefix of the path, or nullptr
const RouteSpec *findRoute(const RouteTable &table, std::string_view host, std::string_view path);

/// @brief Finds the account that holds a key.
/// @return the account, or nullptr
const Account *findAccount(const RouteTable &table, std::string_view key);

/// @brief Finds the pool with a name.
/// @return the pool, or nullptr
const Pool *findPool(const RouteTable &table, std::string_view name);

/// @brief Draws the pool of a request by the route's weights.
/// @param draw a random number
/// @return its name, empty if no target has a weight
std::string drawPool(const RouteSpec &route, std::uint64_t draw);

} // namespace chervilspring
