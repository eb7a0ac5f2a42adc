/// @file
/// @brief One traffic thread of an entry: runs the entry reducer and applies its effects.
#pragma once

#include "chervilspring/detail/entry/entry.hpp"
#include "chervilspring/detail/net/http_server.hpp"
#include "chervilspring/detail/process/metrics.hpp"
#include "chervilspring/detail/process/node_thread.hpp"
#include "chervilspring/detail/process/wake_timer.hpp"

namespace chervilspring {

/// @brief Owns a traffic thread, its connections to agents and its share of the callers.
class EntryShard
{
public:
    /// @param settings the process's settings
    /// @param shard index of this thread, from 0
    /// @param boot random id of this start of the process
    /// @param node control thread of the process; must outlive this object
    /// @param metrics metrics shared by all threads of the process; must outlive this object
    EntryShard(const Settings &settings, std::uint32_t shard, std::uint64_t boot, NodeThread &node,
               Metrics &metrics);
    ~EntryShard();

    /// @brief Listens for callers and starts the thread.
    /// @param port HTTP port, or 0 for any free port
    /// @return the HTTP port that was bound
    /// @throws boost::system::system_error if the port cannot be bound
    std::uint16_t start(std::uint16_t port);

    /// @brief Passes on the answer to a proposal of this shard. Thread-safe.
    void onProposalAnswered(const ProposalAnswered &event);

    /// @brief Notifies the thread that a new view was published. Thread-safe.
    void onViewPublished();

    /// @brief Sends a message to a peer if this shard has a connection to it; drops it otherwise.
    /// Thread-safe.
    void sendIfConnected(const std::string &peer, const Message &message);

    /// @brief Makes /readyz report 503 from now on, and refuses what can't end in time.
    /// Thread-safe.
    /// @param exitAt when the process leaves; all requests are answered by then
    void scheduleExit(Instant exitAt);

    /// @brief Refuses new requests and calls onStopped once the last one was answered, or soon
    /// after the time given to scheduleExit(). Thread-safe.
    /// @param onStopped called on the traffic thread
    void stop(std::function<void()> onStopped);

private:
    void handle(const EntryEvent &event);
    void reduceAndApply(const EntryEvent &event);
    void applyPublishedView();
    void applyEffects(EntryEffects &effects);
    void onHttp(const HttpExchangePointer &exchange);
    void onPipelineCall(const HttpExchangePointer &exchange, const std::string &pipeline);
    void onTraceCall(const HttpExchangePointer &exchange, const std::string &idAndSuffix);
    void onPeerMessage(const std::string &peer, Message message);
    void deliver(const Answer &answer);
    void deliver(const StreamToCaller &tokens);

    Settings settings_;
    std::uint32_t shard_;
    NodeThread &node_;
    Metrics &metrics_;
    boost::asio::io_context context_;
    EntryState state_;
    PeerNetwork network_;
    HttpServer http_;
    WakeTimer timer_;
    std::shared_ptr<const ViewChanged> appliedView_;
    std::map<std::uint64_t, HttpExchangePointer> exchanges_; ///< requests in progress, by token
    std::uint64_t nextToken_ = 1; ///< token of the next request
    bool ready_ = true; ///< scheduleExit() has not been called
    std::function<void()> onStopped_;
    std::thread thread_;
};

} // namespace chervilspring
