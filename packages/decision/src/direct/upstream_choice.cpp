#include "chervilspring/detail/direct/upstream_choice.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr double newestWeight = 0.2; // of the newest run in a moving mean
constexpr nanoseconds assumedTime = milliseconds(50); // before anything was measured
constexpr nanoseconds firstAvoidance = milliseconds(300);
constexpr double failurePenalty = 10; // times the usual time if every run failed

double costOf(const UpstreamRecord &record)
{
    const nanoseconds usual = record.usualTime_ == nanoseconds(0) ? assumedTime : record.usualTime_;
    return static_cast<double>(usual.count()) * (1 + record.open_)
        * (1 + failurePenalty * record.failureShare_);
}

} // namespace

const Upstream *chooseUpstream(const std::vector<const Upstream *> &members,
                               const UpstreamTable &records, const std::vector<std::string> &avoid,
                               std::uint64_t draw, Instant now)
{
    static const UpstreamRecord unknown;
    const Upstream *chosen = nullptr;
    std::pair<bool, double> chosenKey;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const Upstream *upstream = members[(i + draw) % members.size()];
        const auto found = records.find(upstream->name_);
        const UpstreamRecord &record = found == records.end() ? unknown : found->second;
        const bool avoided = isAvoided(record.avoidance_, now)
            || std::find(avoid.begin(), avoid.end(), upstream->name_) != avoid.end();
        const std::pair<bool, double> key(avoided, costOf(record));
        if (chosen && key >= chosenKey)
            continue;
        chosen = upstream;
        chosenKey = key;
    }
    return chosen;
}

void noteStart(UpstreamTable &records, const std::string &upstream)
{
    ++records[upstream].open_;
}

void noteEnd(UpstreamTable &records, const std::string &upstream, nanoseconds took, bool failed,
             Instant now)
{
    UpstreamRecord &record = records[upstream];
    if (record.open_ > 0)
        --record.open_;
    record.failureShare_ += newestWeight * ((failed ? 1.0 : 0.0) - record.failureShare_);
    if (failed) {
        noteFailure(record.avoidance_, firstAvoidance, now);
        return;
    }
    noteSuccess(record.avoidance_);
    if (record.usualTime_ == nanoseconds(0)) {
        record.usualTime_ = took;
        return;
    }
    const double change = newestWeight * static_cast<double>((took - record.usualTime_).count());
    record.usualTime_ += nanoseconds(static_cast<std::int64_t>(change));
}

void forgetUnlisted(UpstreamTable &records, const RouteTable &table)
{
    std::erase_if(records, [&](const auto &item) {
        return item.second.open_ == 0 && !table.upstreams_.contains(item.first);
    });
}

} // namespace chervilspring
