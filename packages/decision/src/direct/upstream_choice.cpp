#include "chervilspring/detail/direct/upstream_choice.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr double newestRunWeight = 0.2; // weight of the newest run in the moving averages
constexpr nanoseconds initialAverageTime = milliseconds(50); // before the first measurement
constexpr nanoseconds initialAvoidance = milliseconds(300); // pause after the first failure
constexpr double failureCostFactor = 10; // relative increase of the cost at a failure rate of 1

} // namespace

double expectedCost(const UpstreamStats &upstreamStats)
{
    const nanoseconds averageTime = upstreamStats.averageTime_ == nanoseconds(0)
        ? initialAverageTime
        : upstreamStats.averageTime_;
    return static_cast<double>(averageTime.count()) * (1 + upstreamStats.activeRuns_)
        * (1 + failureCostFactor * upstreamStats.failureRate_);
}

const Upstream *chooseUpstream(const std::vector<const Upstream *> &upstreams,
                               const UpstreamTable &stats, const std::vector<std::string> &avoided,
                               std::uint64_t randomValue, Instant now)
{
    static const UpstreamStats emptyStats; // for upstreams that have not been used yet
    const Upstream *chosen = nullptr;
    std::pair<bool, double> chosenRank; // avoided or not, expected cost; lower ranks are preferred
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        const Upstream *upstream = upstreams[(i + randomValue) % upstreams.size()];
        const auto found = stats.find(upstream->name_);
        const UpstreamStats &upstreamStats = found == stats.end() ? emptyStats : found->second;
        const bool isAvoidedUpstream = isAvoided(upstreamStats.avoidance_, now)
            || std::find(avoided.begin(), avoided.end(), upstream->name_) != avoided.end();
        const std::pair<bool, double> rank(isAvoidedUpstream, expectedCost(upstreamStats));
        if (chosen && rank >= chosenRank)
            continue;
        chosen = upstream;
        chosenRank = rank;
    }
    return chosen;
}

void recordRunStart(UpstreamTable &stats, const std::string &upstream)
{
    ++stats[upstream].activeRuns_;
}

void recordRunEnd(UpstreamTable &stats, const std::string &upstream, nanoseconds duration,
                  bool failed, Instant now)
{
    UpstreamStats &upstreamStats = stats[upstream];
    if (upstreamStats.activeRuns_ > 0)
        --upstreamStats.activeRuns_;
    upstreamStats.failureRate_ +=
        newestRunWeight * ((failed ? 1.0 : 0.0) - upstreamStats.failureRate_);
    if (failed) {
        noteFailure(upstreamStats.avoidance_, initialAvoidance, now);
        return;
    }
    noteSuccess(upstreamStats.avoidance_);
    if (upstreamStats.averageTime_ == nanoseconds(0)) {
        upstreamStats.averageTime_ = duration;
        return;
    }
    const double change =
        newestRunWeight * static_cast<double>((duration - upstreamStats.averageTime_).count());
    upstreamStats.averageTime_ += nanoseconds(static_cast<std::int64_t>(change));
}

void removeUnlisted(UpstreamTable &stats, const RouteTable &table)
{
    std::erase_if(stats, [&](const auto &item) {
        return item.second.activeRuns_ == 0 && !table.availableUpstreams_.contains(item.first);
    });
}

} // namespace chervilspring
