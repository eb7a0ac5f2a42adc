/// @file
/// @brief Gauges, counters and quantiles in the Prometheus text format, computed by
/// Boost.Accumulators.
#pragma once

#include "chervilspring/detail/entry/entry.hpp"

#include <memory>
#include <mutex>
#include <string>

namespace chervilspring {

/// @brief Metrics of one process by pipeline, account and stage, and its gauges. Thread-safe.
///
/// Requests that are served by routes are measured by TrafficMetrics instead.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// @brief Records a finished attempt at a stage.
    void add(const StageMeasured &measured);

    /// @brief Records a finished request.
    void add(const RequestMeasured &measured);

    /// @brief Sets a gauge.
    /// @param name name without the prefix "chervilspring_"
    /// @param value new value
    void set(const std::string &name, double value);

    /// @brief Returns all metrics in the Prometheus text format.
    std::string text() const;

    /// @brief Returns the totals since the start as JSON, for status pages.
    ///
    /// By pipeline and account: requests, and those that attained their objective. By pipeline,
    /// account and stage: attempts, failed attempts, service time in seconds and cost in cost
    /// units.
    std::string json() const;

private:
    struct Tables;
    mutable std::mutex mutex_;
    std::unique_ptr<Tables> tables_;
};

} // namespace chervilspring
