/// @file
/// @brief Callers' connections for routes: reads requests, writes answers as they come.
#pragma once

#include "chervilspring/detail/net/http_server.hpp"
#include "chervilspring/fleet.hpp"

#include <map>

namespace chervilspring {

class DirectExchange;

/// @brief One connection of a caller. Shared with the run whose answer it gets.
struct CallerConnection
{
    CallerConnection(boost::asio::ip::tcp::socket socket, boost::asio::io_context &context)
        : socket_(std::move(socket)), wake_(context)
    {
        wake_.expires_at(boost::asio::steady_timer::time_point::max());
    }

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer wake_; ///< cancelled when the exchange under way has ended
    bool watched_ = false; ///< a wait for further bytes is under way
    std::weak_ptr<DirectExchange> current_; ///< the exchange under way
};

/// @brief A request and the way back to its caller. Used on one thread only.
class DirectExchange : public std::enable_shared_from_this<DirectExchange>
{
public:
    DirectExchange(std::uint64_t token, std::shared_ptr<CallerConnection> connection,
                   HttpRequest request, bool keepAlive);

    std::uint64_t token() const { return token_; }
    const HttpRequest &request() const { return request_; }

    /// @brief Whether an answer's head went out.
    bool headSent() const { return headSent_; }

    /// @brief Whether the exchange is over: answered, aborted or left by the caller.
    bool ended() const { return ended_; }

    /// @brief Writes an answer without an upstream's.
    void refuse(unsigned status, nanoseconds retryAfter, const std::string &reason);

    /// @brief Writes a whole answer of an upstream.
    /// @param head status line and headers to pass on, each with its line end
    /// @param body whole body
    void answer(std::string head, const std::string &body);

    /// @brief Writes the head of a stream, and bytes of it.
    /// @param head as in answer(); empty if it went out before
    /// @param bytes whole events
    /// @param last the stream ends here
    /// @return false if the caller can't be reached any more
    boost::asio::awaitable<bool> stream(std::string head, std::string bytes, bool last);

    /// @brief Closes the connection, so that the caller sees that the answer isn't whole.
    void abort();

    /// @brief The caller has left.
    void leave();

private:
    friend class DirectServer;
    void write(std::string bytes);
    void end();

    std::uint64_t token_;
    std::shared_ptr<CallerConnection> connection_;
    HttpRequest request_;
    bool keepAlive_;
    bool headSent_ = false;
    bool ended_ = false;
};

using DirectExchangePointer = std::shared_ptr<DirectExchange>;

/// @brief What a server tells its owner, on the owner's thread.
struct DirectHandlers
{
    std::function<void(const DirectExchangePointer &)> request_;
    std::function<void(std::uint64_t token)> gone_;
};

/// @brief Accepts callers' connections. One thread owns it.
class DirectServer
{
public:
    DirectServer(boost::asio::io_context &context, DirectHandlers handlers);

    /// @brief Accepts connections; throws boost::system::system_error if the port can't be had.
    void listen(const boost::asio::ip::tcp::endpoint &endpoint);

    /// @brief Limits for requests that are read from now on.
    void setLimits(const CallerLimits &limits) { limits_ = limits; }

    /// @brief Answers say that the connection closes after them.
    void closeAfterAnswers() { closing_ = true; }

    /// @brief Stops accepting and closes connections without a request under way.
    void stop();

    /// @brief Connections with a request under way.
    std::size_t busy() const { return busy_; }

    /// @brief Open connections.
    std::size_t open() const { return open_; }

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(std::shared_ptr<CallerConnection> connection);
    boost::asio::awaitable<bool> serveOne(const std::shared_ptr<CallerConnection> &connection,
                                          boost::beast::flat_buffer &buffer);
    boost::asio::awaitable<bool> readRequest(const std::shared_ptr<CallerConnection> &connection,
                                             boost::beast::flat_buffer &buffer,
                                             HttpRequest &request);
    void watch(const std::shared_ptr<CallerConnection> &connection);
    void onReadable(CallerConnection &connection);

    boost::asio::io_context &context_;
    DirectHandlers handlers_;
    CallerLimits limits_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::map<CallerConnection *, std::weak_ptr<CallerConnection>> idle_;
    std::uint64_t nextToken_ = 1;
    std::size_t busy_ = 0;
    std::size_t open_ = 0;
    bool closing_ = false;
    bool stopped_ = false;
};

} // namespace chervilspring
