/// @file
/// @brief The control thread of an entry or agent: runs the node reducer and applies its
/// effects.
#pragma once

#include "chervilspring/detail/net/peer_network.hpp"
#include "chervilspring/detail/node/node.hpp"
#include "chervilspring/detail/process/wake_timer.hpp"
#include "chervilspring/settings.hpp"

#include <mutex>
#include <thread>

namespace chervilspring {

/// @brief Passes the newest view from the control thread to the traffic threads. Thread-safe.
///
/// Uses a mutex: std::atomic<std::shared_ptr> of this compiler's standard library is a spin lock
/// whose load() unlocks with relaxed memory order.
class PublishedView
{
public:
    explicit PublishedView(std::shared_ptr<const ViewChanged> view) : view_(std::move(view)) { }

    /// @brief Returns the newest view.
    std::shared_ptr<const ViewChanged> load() const
    {
        const std::lock_guard lock(mutex_);
        return view_;
    }

    /// @brief Replaces the newest view.
    void store(std::shared_ptr<const ViewChanged> view)
    {
        const std::lock_guard lock(mutex_);
        view_ = std::move(view);
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const ViewChanged> view_;
};

/// @brief Callbacks that NodeThread invokes on its control thread. Each one may be empty.
struct NodeCallbacks
{
    /// Receives the answer to each proposal that was submitted with a token other than 0.
    std::function<void(const ProposalAnswered &)> proposalAnswered_;
    /// Sends to a peer that is not a control process.
    std::function<void(const std::string &peer, const Message &)> sendToPeer_;
    /// Called each time after publishedView() has changed.
    std::function<void()> viewPublished_;
};

/// @brief Owns the control thread of an entry or agent. All public functions are thread-safe.
class NodeThread
{
public:
    /// @param settings the process's settings
    /// @param identity identity that the handshake presents to control processes
    /// @param callbacks invoked on the control thread
    NodeThread(const Settings &settings, const PeerIdentity &identity, NodeCallbacks callbacks);
    ~NodeThread();
    NodeThread(const NodeThread &) = delete;
    NodeThread &operator=(const NodeThread &) = delete;

    /// @brief Starts the thread.
    void start();

    /// @brief Ends the thread. No callback is invoked afterwards, and later events are ignored.
    void stop();

    /// @brief Queues an event for the reducer.
    void post(NodeEvent event);

    /// @brief Returns the newest view, which is empty until the first one is received.
    std::shared_ptr<const ViewChanged> publishedView() const { return publishedView_.load(); }

private:
    void handle(const NodeEvent &event);
    void applyEffects(const NodeEffects &effects);

    boost::asio::io_context context_;
    NodeCallbacks callbacks_;
    NodeState state_;
    PeerNetwork network_;
    WakeTimer timer_;
    PublishedView publishedView_;
    std::thread thread_;
};

/// @brief Returns the current wall-clock time, truncated to milliseconds, the resolution of times
/// in the replicated log.
WallTime wallNow();

} // namespace chervilspring
