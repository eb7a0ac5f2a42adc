/// @file
/// @brief One traffic thread of an entry: carries out the entry reducer.
#pragma once

#include "chervilspring/detail/entry/entry.hpp"
#include "chervilspring/detail/net/http_server.hpp"
#include "chervilspring/detail/process/metrics.hpp"
#include "chervilspring/detail/process/node_thread.hpp"
#include "chervilspring/detail/process/wake_timer.hpp"

namespace chervilspring {

/// @brief Owns a thread, its connections to agents and its share of the callers.
class EntryShard
{
public:
    /// @param settings the process's settings
    /// @param shard number of this thread
    /// @param boot boot id of the process
    /// @param node control thread
    /// @param metrics shared by all threads
    EntryShard(const Settings &settings, std::uint32_t shard, std::uint64_t boot, NodeThread &node,
               Metrics &metrics);
    ~EntryShard();

    /// @brief Listens for callers and starts the thread.
    /// @return the HTTP port
    std::uint16_t start(std::uint16_t port);

    /// @brief A proposal of this shard was answered. Thread-safe.
    void answered(const ProposalAnswered &event);

    /// @brief A new view was published. Thread-safe.
    void published();

    /// @brief Sends to a peer if this shard has a connection to it. Thread-safe.
    void sendIfConnected(const std::string &peer, const Message &message);

    /// @brief Fails /readyz from now on. Thread-safe.
    void unready();

    /// @brief Refuses new requests and calls stopped once the last one was answered. Thread-safe.
    void stop(std::function<void()> stopped);

private:
    void handle(const EntryEvent &event);
    void step(const EntryEvent &event);
    void takeView();
    void carryOut(EntryEffects &effects);
    void onHttp(const HttpExchangePointer &exchange);
    void onPipelineCall(const HttpExchangePointer &exchange, const std::string &pipeline);
    void onTraceCall(const HttpExchangePointer &exchange, const std::string &rest);
    void onPeerMessage(const std::string &peer, Message message);
    void deliver(const Answer &answer);
    void deliver(const StreamToCaller &tokens);
    void checkStopped();

    Settings settings_;
    std::uint32_t shard_;
    NodeThread &node_;
    Metrics &metrics_;
    boost::asio::io_context context_;
    EntryState state_;
    PeerNetwork network_;
    HttpServer http_;
    WakeTimer timer_;
    boost::asio::steady_timer stopTimer_;
    std::shared_ptr<const ViewChanged> taken_;
    std::map<std::uint64_t, HttpExchangePointer> exchanges_; ///< by token
    std::uint64_t nextToken_ = 1;
    bool ready_ = true;
    bool reducerStopped_ = false;
    std::function<void()> stopped_;
    std::thread thread_;
};

} // namespace chervilspring
