/// @file
/// @brief The scheduler thread of a control process: runs the scheduler reducer and applies its
/// effects.
#pragma once

#include "chervilspring/detail/net/direct_protocol.hpp"
#include "chervilspring/detail/net/peer_network.hpp"
#include "chervilspring/detail/process/load_report.hpp"
#include "chervilspring/detail/process/traffic_metrics.hpp"
#include "chervilspring/detail/process/wake_timer.hpp"
#include "chervilspring/settings.hpp"

#include <thread>

namespace chervilspring {

/// @brief Owns the scheduler thread and its connections to entries and stage upstreams.
class SchedulerThread
{
public:
    /// @param settings the process's settings
    /// @param protocol protocol of the platform; must outlive this object
    /// @param metrics metrics of the process; must outlive this object
    /// @param store has a quarantine stored in the replicated log; called on the scheduler thread
    SchedulerThread(const Settings &settings, const DirectProtocol &protocol,
                    TrafficMetrics &metrics, std::function<void(const Quarantine &)> store);
    ~SchedulerThread();
    SchedulerThread(const SchedulerThread &) = delete;
    SchedulerThread &operator=(const SchedulerThread &) = delete;

    /// @brief Listens for entries and starts the thread.
    /// @throws boost::system::system_error if the port cannot be bound
    void start();

    /// @brief Passes a newer view to the scheduler. Thread-safe.
    void post(ViewPointer view);

private:
    /// Handles an event and records its load.
    void handle(const SchedulerEvent &event);
    void apply(Instant now, const SchedulerEvent &event);
    void applyEffects(SchedulerEffects &effects);
    /// Records the load of an event whose handling began at startedAt, and logs the report if due.
    void recordLoad(Instant startedAt);
    boost::asio::awaitable<void> callStage(StartStageCall call);
    boost::asio::awaitable<void> freeResults(FreeResults results);

    Settings settings_;
    const DirectProtocol &protocol_;
    TrafficMetrics &metrics_;
    std::function<void(const Quarantine &)> store_;
    boost::asio::io_context context_;
    SchedulerState state_;
    LoadReport loadReport_;
    PeerNetwork network_;
    HttpClient client_;
    WakeTimer timer_;
    std::thread thread_;
};

} // namespace chervilspring
