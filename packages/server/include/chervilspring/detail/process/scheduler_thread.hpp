/// @file
/// @brief The scheduler of a control process: carries out the scheduler reducer on a thread of its
/// own.
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
    SchedulerThread(const Settings &settings, const DirectProtocol &protocol,
                    TrafficMetrics &metrics);
    ~SchedulerThread();
    SchedulerThread(const SchedulerThread &) = delete;
    SchedulerThread &operator=(const SchedulerThread &) = delete;

    /// @brief Listens for entries and starts the thread.
    void start();

    /// @brief Takes a newer view. Thread-safe.
    void post(ViewPointer view);

private:
    void handle(const SchedulerEvent &event);
    void carryOut(SchedulerEffects &effects);
    void report(Instant began);
    boost::asio::awaitable<void> callStage(StartStageCall call);
    boost::asio::awaitable<void> freeResults(FreeResults results);

    Settings settings_;
    const DirectProtocol &protocol_;
    TrafficMetrics &metrics_;
    boost::asio::io_context context_;
    SchedulerState state_;
    LoadReport load_;
    PeerNetwork network_;
    HttpClient client_;
    WakeTimer timer_;
    std::thread thread_;
};

} // namespace chervilspring
