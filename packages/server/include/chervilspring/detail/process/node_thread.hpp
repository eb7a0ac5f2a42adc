/// @file
/// @brief The control thread of an entry or agent: carries out the node reducer.
#pragma once

#include "chervilspring/detail/net/peer_network.hpp"
#include "chervilspring/detail/node/node.hpp"
#include "chervilspring/detail/process/wake_timer.hpp"
#include "chervilspring/settings.hpp"

#include <mutex>
#include <thread>

namespace chervilspring {

/// @brief Newest published view, handed from the control thread to traffic threads.
///
/// A lock, since std::atomic<std::shared_ptr> of this compiler's library is a spin lock that
/// unlocks relaxed after a load.
class PublishedView
{
public:
    explicit PublishedView(std::shared_ptr<const ViewChanged> view) : view_(std::move(view)) { }

    /// @brief Newest view.
    std::shared_ptr<const ViewChanged> load() const
    {
        const std::lock_guard lock(mutex_);
        return view_;
    }

    /// @brief Publishes a view.
    void store(std::shared_ptr<const ViewChanged> view)
    {
        const std::lock_guard lock(mutex_);
        view_ = std::move(view);
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const ViewChanged> view_;
};

/// @brief Callbacks of the control thread, called on that thread.
struct NodeCallbacks
{
    std::function<void(const ProposalAnswered &)> answered_;
    std::function<void(const std::string &peer, const Message &)> sendToPeer_; ///< not control
    std::function<void()> published_;
};

/// @brief Owns the control thread. All public functions are thread-safe.
class NodeThread
{
public:
    /// @param settings the process's settings
    /// @param identity shown to control processes
    /// @param callbacks callbacks
    NodeThread(const Settings &settings, const PeerIdentity &identity, NodeCallbacks callbacks);
    ~NodeThread();
    NodeThread(const NodeThread &) = delete;
    NodeThread &operator=(const NodeThread &) = delete;

    /// @brief Starts the thread.
    void start();

    /// @brief Hands an event to the reducer.
    void post(NodeEvent event);

    /// @brief Newest view.
    std::shared_ptr<const ViewChanged> published() const { return published_.load(); }

private:
    void handle(const NodeEvent &event);
    void carryOut(const NodeEffects &effects);

    boost::asio::io_context context_;
    NodeCallbacks callbacks_;
    NodeState state_;
    PeerNetwork network_;
    WakeTimer timer_;
    PublishedView published_;
    std::thread thread_;
};

/// @brief Current wall clock in the resolution of the log.
WallTime wallNow();

} // namespace chervilspring
