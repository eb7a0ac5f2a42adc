/// @file
/// @brief The control thread of a control process: carries out the control reducer and serves
/// operators.
#pragma once

#include "chervilspring/detail/control/control.hpp"
#include "chervilspring/detail/net/direct_protocol.hpp"
#include "chervilspring/detail/net/peer_network.hpp"
#include "chervilspring/detail/process/metrics.hpp"
#include "chervilspring/detail/process/scheduler_thread.hpp"
#include "chervilspring/detail/process/storage_thread.hpp"
#include "chervilspring/detail/process/wake_timer.hpp"
#include "chervilspring/settings.hpp"

namespace chervilspring {

/// @brief Owns the control thread of a control process.
class ControlThread
{
public:
    /// @param settings the process's settings
    /// @param log open data folder
    /// @param loaded what it held
    /// @param failed called when the disk fails; it has to end the process
    /// @param protocol of the platform, nullptr: operators use the interface of docs/api.md
    ControlThread(const Settings &settings, DiskLog log, const LoadedState &loaded,
                  std::function<void(const Error &)> failed, const DirectProtocol *protocol);
    ~ControlThread();

    /// @brief Listens and starts the thread.
    void start();

    /// @brief Hands the leadership over, then calls stopped. Thread-safe.
    void stop(std::function<void()> stopped);

    /// @brief Takes newer settings. Thread-safe.
    void reload(const Settings &settings);

    /// @brief Has a command committed. For adapters, on this thread.
    /// @param command the command
    /// @param done gets the outcome
    void propose(const Command &command, std::function<void(const AnswerProposal &)> done);

    /// @brief Notes an announcement of a direct upstream. For adapters, on this thread.
    /// @param done gets the outcome once the log holds the announcement
    void announce(const Upstream &upstream, std::function<void(const AnswerProposal &)> done);

    /// @brief Confirms that the state is the newest. For adapters, on this thread.
    void read(std::function<void(const AnswerRead &)> done);

    /// @brief The replicated state. For adapters, on this thread.
    const FleetState &fleet() const { return state_.fleet_; }

    /// @brief The process's settings.
    const Settings &settings() const { return settings_; }

    /// @brief Whether this process leads, as far as it knows.
    bool leading() const { return leads(state_.consensus_); }

    /// @brief Name of the leader, empty if unknown.
    std::string leader() const { return leaderName(state_); }

private:
    void handle(const ControlEvent &event);
    void carryOut(ControlEffects &effects);
    void onHttp(const HttpExchangePointer &exchange);
    bool authorised(const HttpExchangePointer &exchange);
    void onRead(const HttpExchangePointer &exchange);
    void onChange(const HttpExchangePointer &exchange);
    void answerProposal(const AnswerProposal &answer);
    void answerRead(const AnswerRead &answer);
    std::string statusJson() const;
    std::string recordsJson() const;
    void setMetrics();
    void shareView();

    Settings settings_;
    const DirectProtocol *protocol_;
    boost::asio::io_context context_;
    ControlState state_;
    PeerNetwork network_;
    HttpServer http_;
    WakeTimer timer_;
    StorageThread storage_;
    Metrics metrics_;
    TrafficMetrics trafficMetrics_;
    std::unique_ptr<SchedulerThread> scheduler_;
    std::unique_ptr<HttpServer> metricsServer_;
    std::uint64_t sharedVersion_ = 0; ///< of the view that the scheduler has
    std::map<std::uint64_t, std::function<void(const AnswerProposal &)>> proposals_; ///< by token
    std::map<std::uint64_t, std::function<void(const AnswerRead &)>> reads_; ///< by token
    std::map<std::uint64_t, HttpExchangePointer> exchanges_; ///< by token
    std::map<std::uint64_t, std::string> warnings_; ///< for the answer to a proposal
    std::uint64_t nextToken_ = 1;
    std::function<void()> stopped_;
    std::thread thread_;
};

} // namespace chervilspring
