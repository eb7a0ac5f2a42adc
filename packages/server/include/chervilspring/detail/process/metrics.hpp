/// @file
/// @brief Counters and quantiles in the Prometheus text format, over Boost.Accumulators.
#pragma once

#include "chervilspring/detail/entry/entry.hpp"

#include <memory>
#include <mutex>
#include <string>

namespace chervilspring {

/// @brief Metrics of one process. Thread-safe.
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
    void set(const std::string &name, double value);

    /// @brief Returns all metrics in the Prometheus text format.
    std::string text() const;

    /// @brief Returns requests and attained objectives by pipeline and account, and attempts and
    /// cost by stage as well, as JSON for status pages.
    std::string json() const;

private:
    struct Tables;
    mutable std::mutex mutex_;
    std::unique_ptr<Tables> tables_;
};

} // namespace chervilspring
