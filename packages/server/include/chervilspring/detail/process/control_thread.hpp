/// @file
/// @brief The control thread of a control process: runs the control reducer, applies its effects
/// and serves operators.
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
    /// @param log open log in the data folder
    /// @param loaded state that was loaded from the log
    /// @param onStorageFailure called on the storage thread when the disk fails; it must end the
    /// process
    /// @param protocol protocol of the platform, which must outlive this object; nullptr: operators
    /// use the interface of docs/api.md
    ControlThread(const Settings &settings, DiskLog log, const LoadedState &loaded,
                  std::function<void(const Error &)> onStorageFailure,
                  const DirectProtocol *protocol);
    ~ControlThread();

    /// @brief Listens on all ports and starts the thread.
    /// @throws boost::system::system_error if a port cannot be bound
    void start();

    /// @brief Transfers the leadership to another member if this process is the leader, answers the
    /// calls that wait, then calls onStopped. Thread-safe.
    ///
    /// If the transfer does not succeed in time, onStopped is called all the same.
    /// @param onStopped called on the control thread
    void stop(std::function<void()> onStopped);

    /// @brief Applies reloaded settings, of which only the list of control processes and the
    /// quarantines to lift are used. Thread-safe.
    void reload(const Settings &settings);

    /// @brief Proposes a command to the replicated log. To be called on the control thread only, by
    /// the adapter that implements DirectProtocol.
    /// @param command the command
    /// @param done called with the outcome
    void propose(const Command &command, std::function<void(const AnswerProposal &)> done);

    /// @brief Handles the announcement of a direct upstream. To be called like propose().
    /// @param upstream the announced upstream
    /// @param done called with the outcome once the log holds the announcement
    void announce(const Upstream &upstream, std::function<void(const AnswerProposal &)> done);

    /// @brief Handles the departure of a direct upstream. To be called like propose().
    /// @param upstream name of the upstream
    /// @param done called with the outcome once the log holds the departure
    void depart(const std::string &upstream, std::function<void(const AnswerProposal &)> done);

    /// @brief Confirms that fleet() is up to date (linearizable read). To be called like propose().
    /// @param done called with the outcome; if it is positive, done may read fleet()
    void read(std::function<void(const AnswerRead &)> done);

    /// @brief Returns the replicated state as far as this process has applied it. To be called like
    /// propose().
    const FleetState &fleet() const { return state_.fleet_; }

    /// @brief Returns the settings that the process was started with; reload() does not change
    /// them.
    const Settings &settings() const { return settings_; }

    /// @brief Whether this process considers itself the leader; it may have been replaced.
    bool leading() const { return leads(state_.consensus_); }

    /// @brief Returns the name of the leader, or an empty string if unknown.
    std::string leader() const { return leaderName(state_); }

private:
    void handle(const ControlEvent &event);
    void applyEffects(ControlEffects &effects);
    void onHttp(const HttpExchangePointer &exchange);
    /// Checks the operator's credential. Answers with status 401 and returns false if it is wrong.
    bool checkCredential(const HttpExchangePointer &exchange);
    void onOperatorRead(const HttpExchangePointer &exchange);
    void onOperatorCommand(const HttpExchangePointer &exchange);
    void answerProposal(const AnswerProposal &answer);
    void answerRead(const AnswerRead &answer);
    std::string statusJson() const;
    std::string recordsJson() const;
    void updateMetrics();
    void forwardViewToScheduler();
    /// Proposes a quarantine of the scheduler to the replicated log. Thread-safe.
    void storeQuarantine(const Quarantine &quarantine);
    /// Removes those quarantines from the replicated log that it contains.
    void liftQuarantines(const std::vector<std::uint64_t> &ids);

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
    std::uint64_t schedulerViewVersion_ = 0; ///< version of the last view passed to scheduler_
    Instant nextSchedulerViewAt_{}; ///< earliest time of the next view for scheduler_
    /// Callbacks of pending proposals from adapters, by token.
    std::map<std::uint64_t, std::function<void(const AnswerProposal &)>> proposals_;
    /// Callbacks of pending reads from adapters, by token.
    std::map<std::uint64_t, std::function<void(const AnswerRead &)>> reads_;
    std::map<std::uint64_t, HttpExchangePointer> exchanges_; ///< pending operator calls, by token
    std::map<std::uint64_t, std::string> warnings_; ///< warnings for pending commands, by token
    std::uint64_t nextToken_ = 1; ///< identifies the next proposal or read
    std::function<void()> onStopped_;
    std::thread thread_;
};

} // namespace chervilspring
