#include "chervilspring/detail/direct/even_choice.hpp"

#include <algorithm>
#include <random>

namespace chervilspring {

namespace {

// Adds new upstreams at random places, so that entries don't rotate in step, and removes others.
void updateMembers(Rotation &rotation, const std::vector<const Upstream *> &upstreams,
                   std::uint64_t randomValue)
{
    std::mt19937_64 random(randomValue);
    for (const Upstream *upstream : upstreams) {
        if (rotation.credits_.contains(upstream->name_))
            continue;
        rotation.credits_[upstream->name_] = std::generate_canonical<double, 53>(random);
    }
    if (rotation.credits_.size() == upstreams.size())
        return;
    std::erase_if(rotation.credits_, [&](const auto &item) {
        return std::none_of(upstreams.begin(), upstreams.end(), [&](const Upstream *upstream) {
            return upstream->name_ == item.first;
        });
    });
}

// Returns the relative share of an upstream. The failure rate counts twice, since a rotation goes
// on trying upstreams that the choice of the cheapest leaves out.
double shareWeight(UpstreamStats upstreamStats)
{
    const double cost = expectedCost(upstreamStats);
    upstreamStats.failureRate_ = 0;
    const double costWithoutFailures = expectedCost(upstreamStats);
    return costWithoutFailures / (cost * cost);
}

} // namespace

std::vector<const Upstream *> preferredUpstreams(const std::vector<const Upstream *> &upstreams,
                                                 const UpstreamTable &stats,
                                                 const std::vector<std::string> &avoided,
                                                 Instant now)
{
    std::vector<const Upstream *> preferred;
    for (const Upstream *upstream : upstreams) {
        const auto found = stats.find(upstream->name_);
        if (found != stats.end() && isAvoided(found->second.avoidance_, now))
            continue;
        if (std::find(avoided.begin(), avoided.end(), upstream->name_) != avoided.end())
            continue;
        preferred.push_back(upstream);
    }
    return preferred.empty() ? upstreams : preferred;
}

const Upstream *chooseEvenly(Rotation &rotation, const std::vector<const Upstream *> &upstreams,
                             const UpstreamTable &stats, const std::vector<std::string> &avoided,
                             std::uint64_t randomValue, Instant now)
{
    updateMembers(rotation, upstreams, randomValue);
    const auto preferred = preferredUpstreams(upstreams, stats, avoided, now);
    const auto weight = [&](const Upstream *upstream) {
        const auto found = stats.find(upstream->name_);
        return shareWeight(found == stats.end() ? UpstreamStats{} : found->second);
    };
    double weightSum = 0;
    for (const Upstream *upstream : preferred)
        weightSum += weight(upstream);
    const Upstream *chosen = nullptr;
    double chosenCredit = 0;
    for (const Upstream *upstream : preferred) {
        double &credit = rotation.credits_[upstream->name_];
        credit += weight(upstream) / weightSum;
        if (chosen && credit <= chosenCredit)
            continue;
        chosen = upstream;
        chosenCredit = credit;
    }
    if (chosen)
        rotation.credits_[chosen->name_] -= 1;
    return chosen;
}

} // namespace chervilspring
