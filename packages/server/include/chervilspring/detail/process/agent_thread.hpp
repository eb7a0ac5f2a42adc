/// @file
/// @brief The traffic thread of an agent: runs the agent reducer, applies its effects and calls the
/// upstream.
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
    /// @param settings the process's settings
    /// @param boot random id of this start of the process
    /// @param node control thread of the process; must outlive this object
    AgentThread(const Settings &settings, std::uint64_t boot, NodeThread &node);
    ~AgentThread();

    /// @brief Listens for entries and for the local upstream, and starts the thread.
    /// @return HTTP port at which the upstream announces itself
    /// @throws boost::system::system_error if a port cannot be bound
    std::uint16_t start();

    /// @brief Notifies the thread that a new view was published. Thread-safe.
    void onViewPublished();

    /// @brief Sends a message to a peer if a connection is open; drops it otherwise. Thread-safe.
    void sendIfConnected(const std::string &peer, const Message &message);

    /// @brief Announces that the upstream is leaving, finishes the queued and the running attempts
    /// as far as the time allows, then calls onStopped. Thread-safe.
    /// @param exitAt when onStopped is called at the latest
    /// @param onStopped called on the traffic thread
    void stop(Instant exitAt, std::function<void()> onStopped);

private:
    void handle(const AgentEvent &event);
    void reduceAndApply(const AgentEvent &event);
    void applyPublishedView();
    void applyEffects(AgentEffects &effects);
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
    std::shared_ptr<const ViewChanged> appliedView_;
    /// Cancellation signals of the running upstream calls, by attempt.
    std::map<AttemptId, std::shared_ptr<boost::asio::cancellation_signal>> callCancellations_;
    std::uint16_t upstreamPort_ = 0; ///< HTTP port that the upstream announced last; 0: none yet
    Metrics metrics_;
    std::function<void()> onStopped_;
    std::thread thread_;
};

} // namespace chervilspring
