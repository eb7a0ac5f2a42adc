/// @file
/// @brief Sends requests to upstreams and their answers to callers.
///
/// Event streams are forwarded as they arrive. Other answers are held when they are complete, until
/// the owner has them delivered or discarded.
#pragma once

#include "chervilspring/detail/net/direct_protocol.hpp"
#include "chervilspring/detail/net/direct_server.hpp"

#include <functional>
#include <set>

namespace chervilspring {

/// @brief Callbacks of RunClient, invoked on the thread that runs its context.
struct RunHandlers
{
    /// Called before the first events of a run are sent to the caller; it may stop the run.
    std::function<void(const RunStarted &)> onStarted_;
    /// Called when a run has ended by itself, not by stop().
    std::function<void(const RunEnded &)> onEnded_;
    /// Called when a stream has been silent, see StartRun::silenceLimit_; it may stop the run.
    std::function<void(const RunSilent &)> onSilent_;
    /// Called when the head of an answer has a notice, before the end of the run.
    std::function<void(const UpstreamNoticed &)> onNoticed_;
};

/// @brief Connections to upstreams and the runs on them. Not thread-safe.
class RunClient
{
public:
    RunClient(boost::asio::io_context &context, const DirectProtocol &protocol,
              RunHandlers handlers);
    ~RunClient();

    /// @brief Starts a run. Callbacks are never invoked from within this call.
    /// @param command upstream and parameters of the run
    /// @param exchange exchange of the caller
    void start(StartRun command, DirectExchangePointer exchange);

    /// @brief Stops a run and discards its held answer. The end of the run is not reported.
    /// @param token token of the run
    /// @param attempt number of the run among those of its token
    void stop(std::uint64_t token, std::uint32_t attempt);

    /// @brief Sends the held answer of a run to the caller. Aborts the exchange if there is none.
    /// @param token token of the run
    /// @param attempt number of the run among those of its token
    /// @param exchange exchange of the caller
    /// @return false if no answer is sent
    bool deliver(std::uint64_t token, std::uint32_t attempt, const DirectExchangePointer &exchange);

    /// @brief Tests whether an upstream accepts connections.
    /// @param upstream the upstream
    /// @param done called with the result, never from within this call
    void probe(const Upstream &upstream, std::function<void(bool reachable)> done);

    /// @brief Returns the number of connections opened for runs since the start.
    std::uint64_t connectionsOpened() const { return connectionsOpened_; }

private:
    struct Run;
    struct HeldAnswer;
    using RunPointer = std::shared_ptr<Run>;
    using RunKey = std::pair<std::uint64_t, std::uint32_t>; ///< token and attempt

    boost::asio::awaitable<void> tryConnect(Upstream upstream);
    boost::asio::awaitable<void> perform(RunPointer run);
    static void closeConnection(Run &run);
    static RunEnded failedRun(const Run &run, const std::string &reason);
    boost::asio::awaitable<RunEnded> runAttempt(RunPointer run);
    /// Takes an idle connection or opens one. Returns false and fills end if that fails.
    boost::asio::awaitable<bool> connect(RunPointer run, RunEnded &end);
    /// Sends the request and reads the head of the answer. Returns false and fills end if the
    /// answer cannot be used. noAnswerBytes: receives whether reading failed before any byte of an
    /// answer arrived.
    boost::asio::awaitable<bool> exchangeHeads(RunPointer run, RunEnded &end, bool &noAnswerBytes);
    boost::asio::awaitable<void> readWholeAnswer(RunPointer run, RunEnded &end);
    boost::asio::awaitable<void> forwardStream(RunPointer run, RunEnded &end);
    /// Forwards complete events, and the end of the stream if last is set. Returns false if the run
    /// was stopped or the caller is no longer reachable.
    boost::asio::awaitable<bool> forwardEvents(RunPointer run, std::string events, bool last);
    /// Reports when no bytes arrive for the silence limit, once events were forwarded.
    void watchSilence(const RunPointer &run);
    void sendRequest(const RunPointer &run);
    void keepConnection(const RunPointer &run);

    boost::asio::io_context &context_;
    const DirectProtocol &protocol_;
    RunHandlers handlers_;
    IdleConnections idle_; ///< keyed by address, port and name of the upstream
    std::map<RunKey, RunPointer> runs_; ///< runs in progress
    /// Total bytes of all held answers, complete or not.
    std::shared_ptr<std::size_t> heldBytes_ = std::make_shared<std::size_t>(0);
    /// Complete answers that await the decision to deliver or discard them.
    std::map<RunKey, std::unique_ptr<HeldAnswer>> heldAnswers_;
    /// Whom to tell the results of the probes in progress, by key of the connection.
    std::map<std::string, std::vector<std::function<void(bool reachable)>>> probes_;
    std::uint64_t connectionsOpened_ = 0;
};

} // namespace chervilspring
