/// @file
/// @brief The traffic thread of an entry that serves routes: runs the direct reducer and applies
/// its effects.
#pragma once

#include "chervilspring/detail/net/direct_server.hpp"
#include "chervilspring/detail/net/peer_network.hpp"
#include "chervilspring/detail/net/run_client.hpp"
#include "chervilspring/detail/process/node_thread.hpp"
#include "chervilspring/detail/process/traffic_metrics.hpp"
#include "chervilspring/detail/process/wake_timer.hpp"

namespace chervilspring {

/// @brief Owns the traffic thread and its connections to callers, upstreams and schedulers.
class DirectThread
{
public:
    /// @param settings the process's settings
    /// @param protocol protocol of the platform; must outlive this object
    /// @param node control thread of the process; must outlive this object
    DirectThread(const Settings &settings, const DirectProtocol &protocol, NodeThread &node);
    ~DirectThread();
    DirectThread(const DirectThread &) = delete;
    DirectThread &operator=(const DirectThread &) = delete;

    /// @brief Listens on all ports and starts the thread.
    /// @throws boost::system::system_error if a port cannot be bound
    void start();

    /// @brief Notifies the thread that a new view was published. Thread-safe.
    void onViewPublished();

    /// @brief Stops accepting requests, finishes those in progress and calls onStopped.
    /// Thread-safe.
    ///
    /// Requests are accepted until the load balancer has had time to notice that the readiness
    /// probes fail.
    /// @param grace time from this call until the process is killed; onStopped is called before it
    /// ends, even if requests are unfinished
    /// @param onStopped called on the traffic thread
    void stop(nanoseconds grace, std::function<void()> onStopped);

private:
    void handle(const DirectEvent &event);
    void applyEffects(DirectEffects &effects);
    void onRequest(const DirectExchangePointer &exchange);
    void onCallerGone(std::uint64_t token);
    void onProbe(const HttpExchangePointer &exchange);
    void applyPublishedView();
    /// Counts a request that has ended. startedAt: its arrival; zero: no duration is recorded.
    void recordRequestEnd(const std::string &outcome, Instant startedAt);
    /// Records an effect that could not be carried out.
    void recordUnappliedEffect(const std::string &effect, std::uint64_t token);
    void pollStop();

    Settings settings_;
    const DirectProtocol &protocol_;
    NodeThread &node_;
    boost::asio::io_context context_;
    DirectState state_;
    TrafficMetrics metrics_;
    PeerNetwork network_;
    DirectServer server_;
    HttpServer probeServer_;
    HttpServer metricsServer_;
    RunClient client_;
    WakeTimer timer_;
    boost::asio::steady_timer stopTimer_;
    std::shared_ptr<const ViewChanged> appliedView_;
    std::map<std::uint64_t, DirectExchangePointer> exchanges_; ///< requests in progress, by token
    std::map<std::uint64_t, Instant> arrivalTimes_; ///< when each request arrived, by token
    Instant stopRequestedAt_{}; ///< when stop() was requested; zero: not stopping
    nanoseconds gracePeriod_{0}; ///< time from stopRequestedAt_ until the process is killed
    std::function<void()> onStopped_;
    std::thread thread_;
};

} // namespace chervilspring
