/// @file
/// @brief Runs requests at upstreams: sends them and passes answers on to callers as they come.
#pragma once

#include "chervilspring/detail/net/direct_protocol.hpp"
#include "chervilspring/detail/net/direct_server.hpp"

#include <functional>
#include <set>

namespace chervilspring {

/// @brief What a client tells its owner, on the owner's thread.
struct RunHandlers
{
    std::function<void(const RunStarted &)> started_;
    std::function<void(const RunEnded &)> ended_;
};

/// @brief Connections to upstreams and the runs on them. One thread owns it.
class RunClient
{
public:
    RunClient(boost::asio::io_context &context, const DirectProtocol &protocol,
              RunHandlers handlers);
    ~RunClient();

    /// @brief Starts a run; its end is reported later, never from within this call.
    void start(StartRun run, DirectExchangePointer exchange);

    /// @brief Stops a run. Its end isn't reported.
    void stop(std::uint64_t token, std::uint32_t attempt);

    /// @brief Gives the caller the answer that waits.
    void deliver(std::uint64_t token, std::uint32_t attempt, const DirectExchangePointer &exchange);

    /// @brief Finds out whether an upstream takes connections.
    /// @param done called with the answer, never from within this call
    void probe(const Upstream &upstream, std::function<void(bool reachable)> done);

    /// @brief Connections opened since the start.
    std::uint64_t opened() const { return opened_; }

private:
    struct Run;
    struct Held;
    using RunPointer = std::shared_ptr<Run>;
    using RunKey = std::pair<std::uint64_t, std::uint32_t>;

    boost::asio::awaitable<void> tryConnect(Upstream upstream,
                                            std::function<void(bool reachable)> done);
    boost::asio::awaitable<void> perform(RunPointer run);
    boost::asio::awaitable<RunEnded> attempt(RunPointer run);
    boost::asio::awaitable<bool> connect(RunPointer run, RunEnded &end);
    boost::asio::awaitable<bool> exchangeHeads(RunPointer run, RunEnded &end, bool &unanswered);
    boost::asio::awaitable<void> readWhole(RunPointer run, RunEnded &end);
    boost::asio::awaitable<void> passStream(RunPointer run, RunEnded &end);
    boost::asio::awaitable<bool> passEvents(RunPointer run, RunEnded &end, bool last);
    void send(const RunPointer &run);
    void keep(const RunPointer &run);

    boost::asio::io_context &context_;
    const DirectProtocol &protocol_;
    RunHandlers handlers_;
    IdleConnections idle_; ///< by address and instance
    std::map<RunKey, RunPointer> runs_;
    std::shared_ptr<std::size_t> heldBytes_ =
        std::make_shared<std::size_t>(0); ///< of all answers that are held, read or being read
    std::map<RunKey, std::unique_ptr<Held>> held_; ///< whole answers that wait for a decision
    std::uint64_t opened_ = 0;
};

} // namespace chervilspring
