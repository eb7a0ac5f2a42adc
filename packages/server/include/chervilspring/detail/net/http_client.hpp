/// @file
/// @brief HTTP/1.1 client on top of Boost.Beast for complete answers and server-sent events.
#pragma once

#include "chervilspring/detail/net/http_server.hpp"
#include "chervilspring/detail/net/idle_connections.hpp"

#include <boost/asio/awaitable.hpp>

namespace chervilspring {

/// @brief Parameters of an HTTP call.
struct HttpCall
{
    std::string address_; ///< IP address
    std::uint16_t port_ = 0;
    std::string method_ = "POST";
    std::string target_; ///< path and query
    std::vector<HttpHeader> headers_;
    std::string body_;
    /// Time for the request and its answer on a connection. Connecting is not included: it may take
    /// another 1 s, at most limit_. If an idle connection breaks before the first byte of the
    /// answer, the retry on a new connection has the full time again.
    nanoseconds limit_ = seconds(5);
    std::size_t answerLimit_ = 8u << 20; ///< maximum bytes of the body, or of one event
    /// Whether to use an idle connection and to keep it afterwards. If the idle connection breaks
    /// before any answer, the call is sent again on a new one, so only repeatable calls may set
    /// this.
    bool reuse_ = false;
    /// Whether each answer differs from all earlier ones on its connection. One that doesn't has
    /// been sent again and belongs to an earlier call: the call ends with HttpCallEnd::Broken.
    bool distinctAnswers_ = false;
};

/// @brief How a call ended.
enum class HttpCallEnd {
    Answered,
    Unreachable, ///< connecting failed; nothing was sent
    Broken, ///< the connection failed after it was opened, or the answer was invalid or too large
    TimedOut,
};

/// @brief Result of an HTTP call.
struct HttpCallResult
{
    HttpCallEnd end_ = HttpCallEnd::Unreachable;
    unsigned status_ = 0; ///< HTTP status; 0 unless the call was answered
    std::string contentType_; ///< header Content-Type of the answer
    std::string body_; ///< empty if its events were passed to a callback
    std::string detail_; ///< why the call was not answered; empty otherwise
    std::string requestId_; ///< header X-Request-Id of the answer
    std::vector<HttpHeader> headers_; ///< all headers of the answer
};

/// @brief HTTP client with a pool of idle connections. Not thread-safe.
class HttpClient
{
public:
    /// @param context run by the owning thread only
    explicit HttpClient(boost::asio::io_context &context);

    /// @brief Makes a call.
    /// @param call parameters of the call
    /// @param onEvent called with the data of each server-sent event of an answer with status 2xx;
    /// the body of any other answer is collected, and of all answers if onEvent is empty
    /// @return result of the call; network errors are reported in it, never thrown
    boost::asio::awaitable<HttpCallResult>
    perform(HttpCall call, std::function<void(const std::string &)> onEvent = {});

    /// @brief Closes the idle connections to a server, on which answers to earlier calls may still
    /// arrive.
    /// @param address IP address of the server
    /// @param port port of the server
    void closeIdle(const std::string &address, std::uint16_t port);

private:
    /// Makes a call on an open connection. receivedBytes: set if bytes of an answer have arrived.
    boost::asio::awaitable<HttpCallResult>
    performOn(UpstreamConnectionPointer connection, const HttpCall &call,
              std::function<void(const std::string &)> onEvent, bool &receivedBytes);

    boost::asio::io_context &context_;
    IdleConnections idle_;
};

} // namespace chervilspring
