#include "chervilspring/upstream.hpp"

#include <arpa/inet.h>

#include <algorithm>

namespace chervilspring {

namespace {

void setLabel(Labels &labels, const Label &label)
{
    std::erase_if(labels, [&](const Label &old) { return old.key_ == label.key_; });
    labels.push_back(label);
}

bool matchesText(const std::string &selectorText, const Labels &labels)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(selector, parseSelector(selectorText));
            return matches(selector, labels);
        },
        [] { return false; });
}

} // namespace

Labels effectiveLabels(const Upstream &upstream, const Fleet &fleet)
{
    Labels labels = upstream.labels_;
    for (const Label &label : upstream.operatorLabels_)
        setLabel(labels, label);
    setLabel(labels, Label{"name", upstream.name_});
    setLabel(labels, Label{"data_center", upstream.dataCenter_});
    const Labels withoutPools = labels;
    for (const Pool &pool : fleet.pools_) {
        if (!matchesText(pool.selector_, withoutPools))
            continue;
        labels.push_back(Label{"pool", pool.name_});
        labels.insert(labels.end(), pool.labels_.begin(), pool.labels_.end());
    }
    return labels;
}

std::map<std::string, std::vector<const Upstream *>> poolMembers(const View &view)
{
    std::map<std::string, std::vector<const Upstream *>> pools;
    const Fleet noPools;
    std::vector<std::pair<const Upstream *, Labels>> candidates;
    for (const Upstream &upstream : view.upstreams_) {
        if (takesNewWork(upstream, view))
            candidates.emplace_back(&upstream, effectiveLabels(upstream, noPools));
    }
    for (const Pool &pool : view.fleet_.pools_) {
        auto &list = pools[pool.name_];
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(selector, parseSelector(pool.selector_));
                for (const auto &[upstream, labels] : candidates) {
                    if (matches(selector, labels))
                        list.push_back(upstream);
                }
                return {};
            },
            [] {}); // selectors were validated when the configuration was applied
    }
    return pools;
}

bool belongsToPool(const Upstream &upstream, const Fleet &fleet)
{
    const Labels labels = effectiveLabels(upstream, Fleet{});
    return std::any_of(fleet.pools_.begin(), fleet.pools_.end(),
                       [&](const Pool &pool) { return matchesText(pool.selector_, labels); });
}

bool hasUsableAddress(const Upstream &upstream)
{
    if (!upstream.direct_)
        return true;
    in6_addr address{};
    const char *text = upstream.agentAddress_.c_str();
    return inet_pton(AF_INET, text, &address) == 1 || inet_pton(AF_INET6, text, &address) == 1;
}

std::uint64_t bootIdOfStart(WallTime time)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.time_since_epoch().count()));
}

bool hasCrashedTooOften(const Suspect &suspect)
{
    constexpr std::uint32_t crashLimit = 3;
    return suspect.crashes_ >= crashLimit && !suspect.isExplained_;
}

bool takesNewWork(const Upstream &upstream)
{
    return upstream.phase_ == UpstreamPhase::Serving && !upstream.drained_
        && hasUsableAddress(upstream);
}

bool takesNewWork(const Upstream &upstream, const View &view)
{
    return takesNewWork(upstream)
        && !std::binary_search(view.evacuated_.begin(), view.evacuated_.end(),
                               upstream.dataCenter_);
}

} // namespace chervilspring
