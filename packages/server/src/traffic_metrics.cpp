#include "chervilspring/detail/process/traffic_metrics.hpp"

#include <algorithm>
#include <sstream>

namespace chervilspring {

namespace {

constexpr std::array<milliseconds, 14> bounds = {
    milliseconds(5),    milliseconds(10),   milliseconds(25),   milliseconds(50),
    milliseconds(100),  milliseconds(200),  milliseconds(300),  milliseconds(500),
    milliseconds(750),  milliseconds(1000), milliseconds(1500), milliseconds(2500),
    milliseconds(5000), milliseconds(10000)};
constexpr char prefix[] = "chervilspring_";

double inSeconds(nanoseconds time)
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
    values_[name] = value;
}

void TrafficMetrics::observe(const std::string &name, const std::string &labels, nanoseconds time)
{
    const auto bound = std::lower_bound(bounds.begin(), bounds.end(), time);
    const std::lock_guard lock(mutex_);
    Histogram &histogram = histograms_[{name, labels}];
    ++histogram.counts_[static_cast<std::size_t>(bound - bounds.begin())];
    histogram.sum_ += time;
}

std::string TrafficMetrics::text() const
{
    std::ostringstream text;
    const std::lock_guard lock(mutex_);
    for (const auto &[name, value] : counters_)
        text << prefix << name << " " << value << "\n";
    for (const auto &[name, value] : values_)
        text << prefix << name << " " << value << "\n";
    for (const auto &[key, histogram] : histograms_) {
        const auto &[name, labels] = key;
        const std::string separator = labels.empty() ? "" : ",";
        std::uint64_t total = 0;
        for (std::size_t i = 0; i <= bounds.size(); ++i) {
            total += histogram.counts_[i];
            text << prefix << name << "_bucket{" << labels << separator << "le=\"";
            if (i < bounds.size())
                text << inSeconds(bounds[i]);
            else
                text << "+Inf";
            text << "\"} " << total << "\n";
        }
        text << prefix << name << "_sum{" << labels << "} " << inSeconds(histogram.sum_) << "\n";
        text << prefix << name << "_count{" << labels << "} " << total << "\n";
    }
    return text.str();
}

} // namespace chervilspring
