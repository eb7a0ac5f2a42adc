#include "chervilspring/detail/upstream_notices.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr nanoseconds maxPause = std::chrono::hours(1); // an upstream may ask for years by mistake
constexpr std::size_t maxRecords = 4096; // several times the upstreams of the largest fleet

void dropOldest(NoticeTable &table)
{
    const auto oldest =
        std::min_element(table.begin(), table.end(), [](const auto &left, const auto &right) {
            return left.second.heardAt_ < right.second.heardAt_;
        });
    table.erase(oldest);
}

} // namespace

bool recordNotice(NoticeTable &table, const Upstream &upstream, const UpstreamNotice &notice,
                  Instant now)
{
    if (notice.isEmpty())
        return false;
    const auto known = table.find(upstream.name_);
    const bool isNewBoot = known == table.end() || known->second.boot_ != upstream.agentBoot_;
    NoticeRecord record = isNewBoot ? NoticeRecord{} : known->second;
    const bool tellsNew = (notice.leaving_ && !record.leaving_)
        || (notice.pause_ > nanoseconds(0) && record.pausedUntil_ <= now);
    record.boot_ = upstream.agentBoot_;
    record.heardAt_ = now;
    record.leaving_ = record.leaving_ || notice.leaving_;
    record.pausedUntil_ = std::max(record.pausedUntil_, now + std::min(notice.pause_, maxPause));
    table[upstream.name_] = record;
    if (table.size() > maxRecords)
        dropOldest(table);
    return tellsNew;
}

Instant usableFrom(const NoticeTable &table, const Upstream &upstream, Instant now)
{
    const auto known = table.find(upstream.name_);
    if (known == table.end() || known->second.boot_ != upstream.agentBoot_)
        return Instant{};
    if (known->second.leaving_)
        return Instant::max();
    return known->second.pausedUntil_ > now ? known->second.pausedUntil_ : Instant{};
}

std::optional<nanoseconds> timeUntilUsable(const NoticeTable &table,
                                           const std::vector<const Upstream *> &upstreams,
                                           Instant now)
{
    Instant first = Instant::max();
    for (const Upstream *upstream : upstreams)
        first = std::min(first, usableFrom(table, *upstream, now));
    if (first == Instant::max())
        return std::nullopt;
    return std::max(nanoseconds(0), first - now);
}

std::vector<const Upstream *> usableUpstreams(const NoticeTable &table,
                                              const std::vector<const Upstream *> &upstreams,
                                              Instant now)
{
    std::vector<const Upstream *> usable;
    for (const Upstream *upstream : upstreams) {
        if (usableFrom(table, *upstream, now) == Instant{})
            usable.push_back(upstream);
    }
    return usable;
}

std::string noticeText(const Upstream &upstream, const UpstreamNotice &notice)
{
    return "decision=upstream_notice upstream=" + upstream.name_ + " boot="
        + std::to_string(upstream.agentBoot_) + " leaving=" + (notice.leaving_ ? "true" : "false")
        + " pause_ms=" + std::to_string(notice.pause_ / milliseconds(1));
}

} // namespace chervilspring
