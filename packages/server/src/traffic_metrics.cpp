#include "chervilspring/detail/process/traffic_metrics.hpp"

#include <algorithm>
#include <sstream>

namespace chervilspring {

namespace {

// Upper bounds of the histogram buckets, inclusive.
constexpr std::array<milliseconds, 14> bucketBounds = {
    milliseconds(5),    milliseconds(10),   milliseconds(25),   milliseconds(50),
    milliseconds(100),  milliseconds(200),  milliseconds(300),  milliseconds(500),
    milliseconds(750),  milliseconds(1000), milliseconds(1500), milliseconds(2500),
    milliseconds(5000), milliseconds(10000)};
constexpr char metricPrefix[] = "chervilspring_";

double toSeconds(nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void TrafficMetrics::count(const std::string &name, std::uint64_t by)
{
    const std::lock_guard lock(mutex_);
    counters_[name] += by;
}

void TrafficMetrics::set(const std::string &name, double value)
{
    const std::lock_guard lock(mutex_);
    gauges_[name] = value;
}

void TrafficMetrics::observe(const std::string &name, const std::string &labels, nanoseconds time)
{
    const auto bound = std::lower_bound(bucketBounds.begin(), bucketBounds.end(), time);
    const std::lock_guard lock(mutex_);
    Histogram &histogram = histograms_[{name, labels}];
    ++histogram.counts_[static_cast<std::size_t>(bound - bucketBounds.begin())];
    histogram.sum_ += time;
}

std::string TrafficMetrics::text() const
{
    std::ostringstream text;
    const std::lock_guard lock(mutex_);
    for (const auto &[name, value] : counters_)
        text << metricPrefix << name << " " << value << "\n";
    for (const auto &[name, value] : gauges_)
        text << metricPrefix << name << " " << value << "\n";
    for (const auto &[key, histogram] : histograms_) {
        const auto &[name, labels] = key;
        const std::string separator = labels.empty() ? "" : ",";
        std::uint64_t total = 0;
        for (std::size_t i = 0; i <= bucketBounds.size(); ++i) {
            total += histogram.counts_[i];
            text << metricPrefix << name << "_bucket{" << labels << separator << "le=\"";
            if (i < bucketBounds.size())
                text << toSeconds(bucketBounds[i]);
            else
                text << "+Inf";
            text << "\"} " << total << "\n";
        }
        text << metricPrefix << name << "_sum{" << labels << "} " << toSeconds(histogram.sum_)
             << "\n";
        text << metricPrefix << name << "_count{" << labels << "} " << total << "\n";
    }
    return text.str();
}

} // namespace chervilspring
