/// @file
/// @brief The traffic thread of an agent: carries out the agent reducer and calls the upstream.
#pragma once

#include "chervilspring/detail/agent/agent.hpp"
#include "chervilspring/detail/net/http_client.hpp"
#include "chervilspring/detail/process/metrics.hpp"
#include "chervilspring/detail/process/node_thread.hpp"
#include "chervilspring/detail/process/wake_timer.hpp"

#include <boost/asio/cancellation_signal.hpp>

namespace chervilspring {

/// @brief Owns the traffic thread of an agent.
class AgentThread
{
public:
    AgentThread(const Settings &settings, std::uint64_t boot, NodeThread &node);
    ~AgentThread();

    /// @brief Listens for entries and for the local upstream, and starts the thread.
    /// @return the HTTP port for the upstream
    std::uint16_t start();

    /// @brief A new view was published. Thread-safe.
    void published();

    /// @brief Sends to a peer if there is a connection. Thread-safe.
    void sendIfConnected(const std::string &peer, const Message &message);

    /// @brief Leaves, finishes what runs, then calls stopped. Thread-safe.
    void stop(std::function<void()> stopped);

private:
    void handle(const AgentEvent &event);
    void step(const AgentEvent &event);
    void takeView();
    void carryOut(AgentEffects &effects);
    void onHttp(const HttpExchangePointer &exchange);
    void onAnnounce(const HttpExchangePointer &exchange);
    void onPeerMessage(const std::string &peer, Message message);
    void startCall(const StartCall &call);
    boost::asio::awaitable<void> callUpstream(StartCall call);

    Settings settings_;
    NodeThread &node_;
    boost::asio::io_context context_;
    AgentState state_;
    PeerNetwork network_;
    HttpServer http_;
    HttpClient client_;
    WakeTimer timer_;
    std::shared_ptr<const ViewChanged> taken_;
    std::map<AttemptId, std::shared_ptr<boost::asio::cancellation_signal>> calls_;
    std::uint16_t upstreamPort_ = 0;
    Metrics metrics_;
    std::function<void()> stopped_;
    std::thread thread_;
};

} // namespace chervilspring
