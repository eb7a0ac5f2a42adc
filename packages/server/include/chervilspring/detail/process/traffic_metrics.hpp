/// @file
/// @brief Counters, gauges and latency histograms in the Prometheus text format.
#pragma once

#include "chervilspring/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace chervilspring {

/// @brief Counters, gauges and histograms of an entry that serves routes, or of its scheduler.
/// Thread-safe.
///
/// Names are passed without the prefix "chervilspring_", which text() adds.
class TrafficMetrics
{
public:
    /// @brief Adds to a counter.
    /// @param name name with labels, such as "requests_total{outcome=\"delivered\"}"
    /// @param by increment
    void count(const std::string &name, std::uint64_t by = 1);

    /// @brief Sets a gauge.
    /// @param name name as in count()
    /// @param value new value
    void set(const std::string &name, double value);

    /// @brief Adds a duration to a histogram.
    /// @param name name without labels
    /// @param labels labels such as "route=\"r1\"", may be empty
    /// @param time duration; the histogram is exported in seconds
    void observe(const std::string &name, const std::string &labels, nanoseconds time);

    /// @brief Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    static constexpr std::size_t bucketCount = 14; ///< number of buckets with an upper bound
    struct Histogram
    {
        /// Counts per bucket; the last one is for durations above all bounds.
        std::array<std::uint64_t, bucketCount + 1> counts_{};
        nanoseconds sum_{0};
    };

    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::pair<std::string, std::string>, Histogram> histograms_; ///< by name and labels
};

} // namespace chervilspring
