/// @file
/// @brief The traffic thread of an entry that serves routes: carries out the direct reducer.
#pragma once

#include "chervilspring/detail/net/direct_server.hpp"
#include "chervilspring/detail/net/peer_network.hpp"
#include "chervilspring/detail/net/run_client.hpp"
#include "chervilspring/detail/process/node_thread.hpp"
#include "chervilspring/detail/process/traffic_metrics.hpp"
#include "chervilspring/detail/process/wake_timer.hpp"

namespace chervilspring {

/// @brief Owns the thread, callers' connections, and connections to upstreams and schedulers.
class DirectThread
{
public:
    DirectThread(const Settings &settings, const DirectProtocol &protocol, NodeThread &node);
    ~DirectThread();
    DirectThread(const DirectThread &) = delete;
    DirectThread &operator=(const DirectThread &) = delete;

    /// @brief Listens and starts the thread; throws boost::system::system_error if a port can't be
    /// had.
    void start();

    /// @brief A new view was published. Thread-safe.
    void published();

    /// @brief Finishes what is under way and calls stopped. Thread-safe.
    /// @param grace time after which the process ends in any case
    void stop(nanoseconds grace, std::function<void()> stopped);

private:
    void handle(const DirectEvent &event);
    void carryOut(DirectEffects &effects);
    void onRequest(const DirectExchangePointer &exchange);
    void onProbe(const HttpExchangePointer &exchange);
    void takeView();
    void noteEnd(const std::string &outcome, Instant startedAt);
    void stopStep();

    Settings settings_;
    const DirectProtocol &protocol_;
    NodeThread &node_;
    boost::asio::io_context context_;
    DirectState state_;
    TrafficMetrics metrics_;
    PeerNetwork network_;
    DirectServer server_;
    HttpServer probes_;
    HttpServer metricsServer_;
    RunClient client_;
    WakeTimer timer_;
    boost::asio::steady_timer stopTimer_;
    std::shared_ptr<const ViewChanged> taken_;
    std::map<std::uint64_t, DirectExchangePointer> exchanges_; ///< by token
    std::map<std::uint64_t, Instant> arrivals_; ///< by token
    Instant stopAskedAt_{}; ///< zero: not stopping
    nanoseconds grace_{0};
    std::function<void()> stopped_;
    std::thread thread_;
};

} // namespace chervilspring
