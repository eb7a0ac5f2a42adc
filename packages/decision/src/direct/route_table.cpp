#include "chervilspring/detail/direct/route_table.hpp"

#include "chervilspring/digest.hpp"

#include <algorithm>
#include <numeric>

namespace chervilspring {

std::shared_ptr<const RouteTable> makeRouteTable(const ViewPointer &view)
{
    auto table = std::make_shared<RouteTable>();
    table->view_ = view;
    for (const RouteSpec &route : view->fleet_.routes_)
        table->routesByHost_[route.host_].push_back(&route);
    for (auto &[host, routes] : table->routesByHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const RouteSpec *a, const RouteSpec *b) {
            return a->pathPrefix_.size() > b->pathPrefix_.size();
        });
    }
    for (const Account &account : view->fleet_.accounts_) {
        for (const std::string &digest : account.keyDigests_)
            table->accountsByKeyDigest_[digest] = &account;
    }
    table->upstreamsByPool_ = poolMembers(*view);
    for (const Upstream &upstream : view->upstreams_) {
        if (takesNewWork(upstream, *view))
            table->availableUpstreams_[upstream.name_] = &upstream;
    }
    for (const Suspect &suspect : view->suspects_) {
        if (!suspect.trialUpstream_.empty())
            table->trialUpstreams_.push_back(suspect.trialUpstream_);
    }
    return table;
}

const RouteSpec *findRoute(const RouteTable &table, std::string_view host, std::string_view path)
{
    const auto routes = table.routesByHost_.find(host);
    if (routes == table.routesByHost_.end())
        return nullptr;
    for (const RouteSpec *route : routes->second) {
        if (path.starts_with(route->pathPrefix_))
            return route;
    }
    return nullptr;
}

bool needsKey(const RouteTable &table, const RouteSpec &route)
{
    const Fleet &fleet = table.view_->fleet_;
    // Configurations stored by older versions have accounts, but not the flag.
    return !route.open_ && (fleet.needsKey_ || !fleet.accounts_.empty());
}

const Account *findAccount(const RouteTable &table, std::string_view key)
{
    if (key.empty()) // the request has none, whatever keys accounts have
        return nullptr;
    const auto found = table.accountsByKeyDigest_.find(credentialDigest({}, key));
    return found == table.accountsByKeyDigest_.end() ? nullptr : found->second;
}

const Pool *findPool(const RouteTable &table, std::string_view name)
{
    return findByName(table.view_->fleet_.pools_, name);
}

std::string selectPool(const RouteSpec &route, std::uint64_t randomValue)
{
    const std::uint64_t total =
        std::accumulate(route.targets_.begin(), route.targets_.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const RouteTarget &t) { return sum + t.weight_; });
    if (total == 0)
        return {};
    std::uint64_t remaining = randomValue % total;
    for (const RouteTarget &target : route.targets_) {
        if (remaining < target.weight_)
            return target.pool_;
        remaining -= target.weight_;
    }
    return {};
}

} // namespace chervilspring
