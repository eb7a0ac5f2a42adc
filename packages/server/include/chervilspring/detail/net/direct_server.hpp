/// @file
/// @brief HTTP/1.1 server for routes: reads callers' requests, writes answers as they arrive.
#pragma once

#include "chervilspring/detail/direct/request_memory.hpp"
#include "chervilspring/detail/net/http_server.hpp"
#include "chervilspring/detail/net/read_limits.hpp"
#include "chervilspring/fleet.hpp"

#include <limits>
#include <map>

namespace chervilspring {

class DirectExchange;

/// @brief What happens on a caller's connection.
enum class ConnectionPhase {
    Idle, ///< no byte of the next request was read
    Reading, ///< part of a request was read
    Answering, ///< a request is in progress
    Closing, ///< the last answer was sent
};

/// @brief A caller's connection. Shared with the run whose answer is written to it.
struct CallerConnection
{
    CallerConnection(boost::asio::ip::tcp::socket socket, boost::asio::io_context &context)
        : socket_(std::move(socket)), exchangeEndSignal_(context)
    {
        exchangeEndSignal_.expires_at(boost::asio::steady_timer::time_point::max());
    }

    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_; ///< bytes that were read but not parsed yet
    ConnectionPhase phase_ = ConnectionPhase::Idle;
    Instant phaseSince_ = BootClock::now(); ///< since when it is idle, or its request is read
    std::uint64_t requestId_ = 0; ///< id of the request in the server's memory; 0: none
    bool evicted_ = false; ///< the server gives the connection up for others
    boost::asio::steady_timer exchangeEndSignal_; ///< cancelled when currentExchange_ ends
    bool readWaitPending_ = false; ///< a wait until the socket is readable is pending
    std::uint64_t lastDeadline_ = 0; ///< number of the latest deadline for reading
    std::uint64_t armedDeadline_ = 0; ///< number of the deadline in force; 0: none
    std::weak_ptr<DirectExchange> currentExchange_; ///< the exchange in progress
};

/// @brief A request and the means to answer its caller. Not thread-safe.
class DirectExchange : public std::enable_shared_from_this<DirectExchange>
{
public:
    /// @param token identifies the exchange within its server
    /// @param connection connection that the request arrived on
    /// @param request the complete request
    /// @param keepAlive whether the connection stays open after the answer
    DirectExchange(std::uint64_t token, std::shared_ptr<CallerConnection> connection,
                   HttpRequest request, bool keepAlive);

    std::uint64_t token() const { return token_; }
    const HttpRequest &request() const { return request_; }

    /// @brief Whether no other answer can be sent: one has begun, or the exchange has ended.
    bool headSent() const { return phase_ != Phase::Waiting; }

    /// @brief Whether the exchange is over: answered, aborted or abandoned by the caller.
    bool ended() const { return phase_ == Phase::Ended; }

    /// @brief Writes an error answer. Aborts the exchange if an answer has been started.
    /// @param status HTTP status
    /// @param retryAfter value of the header Retry-After, which is written in seconds with three
    /// decimals; zero omits the header
    /// @param reason reason in the JSON body; must not contain characters that JSON escapes
    /// @return false if the answer is not written
    bool refuse(unsigned status, nanoseconds retryAfter, const std::string &reason);

    /// @brief Writes a complete answer of an upstream. Aborts the exchange if an answer has been
    /// started.
    /// @param head status line and headers to forward, each terminated by CRLF
    /// @param body complete body
    /// @return false if the answer is not written
    bool answer(std::string head, const std::string &body);

    /// @brief Writes the next part of a streamed answer.
    /// @param head as in answer(); empty if it was sent before
    /// @param bytes complete events
    /// @param last whether the stream ends after these bytes
    /// @return false if the exchange has ended or has another answer, or the caller is no longer
    /// reachable, which was then reported by DirectHandlers::onCallerGone_
    boost::asio::awaitable<bool> stream(std::string head, std::string bytes, bool last);

    /// @brief Closes the connection so that the caller detects the truncated answer.
    void abort();

    /// @brief Ends the exchange because the caller has closed the connection, and reports it.
    void onCallerGone();

private:
    friend class DirectServer;
    enum class Phase {
        Waiting, ///< no answer was started
        Streaming, ///< the head of a streamed answer was sent or is being sent
        Answering, ///< a complete answer is being written
        Ended,
    };
    bool beginAnswer();
    void write(std::string bytes);
    void end();

    std::uint64_t token_;
    std::function<void()> onGone_; ///< called if the caller has disconnected before the end
    std::shared_ptr<void> memory_; ///< its end releases the memory of the request
    std::shared_ptr<CallerConnection> connection_;
    HttpRequest request_;
    bool keepAlive_;
    Phase phase_ = Phase::Waiting;
};

using DirectExchangePointer = std::shared_ptr<DirectExchange>;

/// @brief Callbacks of DirectServer, invoked on the thread that runs its context.
struct DirectHandlers
{
    /// Called for each complete request; the exchange may be answered immediately or later. Must
    /// not send anything to an upstream before it returns, since it may throw.
    std::function<void(const DirectExchangePointer &)> onRequest_;
    /// Called with the token of an exchange whose caller disconnected before its end, or for which
    /// onRequest_ threw: the owner has to give the request up.
    std::function<void(std::uint64_t token)> onCallerGone_;
};

/// @brief Accepts callers' connections. Not thread-safe.
class DirectServer
{
public:
    DirectServer(boost::asio::io_context &context, DirectHandlers handlers);

    /// @brief Starts accepting connections.
    /// @param endpoint address and port; port 0 stands for any free port
    /// @return the port that was bound
    /// @throws boost::system::system_error if the port cannot be bound
    std::uint16_t listen(const boost::asio::ip::tcp::endpoint &endpoint);

    /// @brief Sets the limits for requests that begin to arrive from now on.
    ///
    /// A longer idle time holds for connections that are idle already. A shorter one is applied
    /// once the previous one has passed, since callers may learn of the change later than this
    /// server.
    void setLimits(const CallerLimits &limits);

    /// @brief Sets the limits on what all callers together may take.
    /// @param requestBytes memory for requests, read completely or not
    /// @param connections open connections
    void setTotals(std::size_t requestBytes, std::size_t connections);

    /// @brief Returns the memory that requests hold, in bytes.
    std::size_t requestBytes() const { return memory_->usedBytes_; }

    /// @brief Returns how often a request or connection was refused or given up for others.
    std::uint64_t evictions() const { return evictions_; }

    /// @brief Makes answers that have not begun announce that the connection closes after them.
    ///
    /// Where a further request was read already, the answer to that one announces it.
    void closeAfterAnswers();

    /// @brief Stops accepting and closes idle connections. The others close after their answer.
    ///
    /// A request of which a byte has arrived is still read and handed to the owner.
    void stop();

    /// @brief Returns the number of connections with a request in progress, read completely or not.
    std::size_t busyConnections() const;

    /// @brief Returns the number of open connections.
    std::size_t openConnections() const { return connections_.size(); }

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(std::shared_ptr<CallerConnection> connection);
    /// Serves one request. Returns whether the connection stays open for another one.
    boost::asio::awaitable<bool> serveOne(const std::shared_ptr<CallerConnection> &connection);
    /// Returns how long a connection may be idle.
    nanoseconds idleTime() const;
    /// Passes a request to the owner, and answers it if the owner fails.
    void passOn(const DirectExchangePointer &exchange);
    /// Waits for the first byte of a request. Returns false if the connection must be closed.
    boost::asio::awaitable<bool>
    waitForRequest(const std::shared_ptr<CallerConnection> &connection);
    /// Reads one request. Returns false if none could be read; the connection must be closed then.
    boost::asio::awaitable<bool> readRequest(const std::shared_ptr<CallerConnection> &connection,
                                             HttpRequest &request);
    /// Reads the rest of a request within the memory for requests.
    boost::asio::awaitable<void>
    readBodyWithin(std::shared_ptr<CallerConnection> connection,
                   boost::beast::http::request_parser<boost::beast::http::string_body> &parser,
                   MessageSize &messageSize, boost::system::error_code &error);
    /// Reads a request, for the head of which there is memory.
    boost::asio::awaitable<void> readWithin(std::shared_ptr<CallerConnection> connection,
                                            HttpRequest &request, boost::system::error_code &error);
    /// Answers a request that can't be read.
    boost::asio::awaitable<void> refuseUnread(std::shared_ptr<CallerConnection> connection,
                                              boost::system::error_code error);
    /// Asks for memory of the request that a connection receives. Returns whether there is any.
    bool holdBytes(const std::shared_ptr<CallerConnection> &connection, std::size_t bytes);
    /// Gives a connection up that is idle or receives a request.
    void evict(CallerConnection &connection);
    /// Gives the connection up that has been idle or receiving for longest, if there are too many.
    void evictOldestConnection();
    /// Detects that the caller disconnects while its request is in progress.
    void watchForDisconnect(const std::shared_ptr<CallerConnection> &connection);
    void onReadable(const std::shared_ptr<CallerConnection> &connection);

    boost::asio::io_context &context_;
    DirectHandlers handlers_;
    CallerLimits limits_;
    bool limitsSet_ = false; ///< setLimits() was called
    nanoseconds previousIdleTime_{0}; ///< idle time before the latest change
    Instant idleTimeChangedAt_{}; ///< when limits_.idleTime_ changed last
    boost::asio::ip::tcp::acceptor acceptor_;
    std::map<CallerConnection *, std::weak_ptr<CallerConnection>> connections_; ///< open ones
    /// Shared with exchanges, which may outlive the server.
    std::shared_ptr<RequestMemory> memory_ = std::make_shared<RequestMemory>();
    std::map<std::uint64_t, std::weak_ptr<CallerConnection>> receiving_; ///< by id of the request
    std::uint64_t nextRequestId_ = 1;
    std::size_t maxConnections_ = std::numeric_limits<std::size_t>::max();
    std::uint64_t evictions_ = 0;
    std::uint64_t nextToken_ = 1; ///< token of the next exchange
    bool closing_ = false; ///< closeAfterAnswers() was called
    bool stopped_ = false; ///< stop() was called
};

} // namespace chervilspring
