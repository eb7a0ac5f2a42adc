/// @file
/// @brief Counters and latency histograms in the Prometheus text format.
#pragma once

#include "chervilspring/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace chervilspring {

/// @brief Counters, values and histograms of one process. Thread-safe.
class TrafficMetrics
{
public:
    /// @brief Adds to a counter.
    /// @param name with its labels, such as "requests_total{outcome=\"delivered\"}"
    void count(const std::string &name, std::uint64_t by = 1);

    /// @brief Sets a value that is read as it stands.
    void set(const std::string &name, double value);

    /// @brief Adds a time to a histogram.
    /// @param name without labels
    /// @param labels such as "route=\"r1\"", may be empty
    void observe(const std::string &name, const std::string &labels, nanoseconds time);

    /// @brief Prometheus text.
    std::string text() const;

private:
    static constexpr std::size_t buckets = 14;
    struct Histogram
    {
        std::array<std::uint64_t, buckets + 1> counts_{}; ///< the last one: longer than all bounds
        nanoseconds sum_{0};
    };

    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> values_;
    std::map<std::pair<std::string, std::string>, Histogram> histograms_;
};

} // namespace chervilspring
