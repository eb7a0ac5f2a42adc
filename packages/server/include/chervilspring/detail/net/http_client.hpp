/// @file
/// @brief HTTP/1.1 client over Boost.Beast: whole answers and server-sent events.
#pragma once

#include "chervilspring/detail/net/http_server.hpp"
#include "chervilspring/detail/net/idle_connections.hpp"

#include <boost/asio/awaitable.hpp>

namespace chervilspring {

/// @brief A call to make.
struct HttpCall
{
    std::string address_;
    std::uint16_t port_ = 0;
    std::string method_ = "POST";
    std::string target_;
    std::vector<HttpHeader> headers_;
    std::string body_;
    nanoseconds limit_ = seconds(5); ///< for the whole call
    std::size_t answerLimit_ = 8u << 20; ///< bytes of the body, or of one event
    bool reuse_ = false; ///< may go over a connection that is already open
};

/// @brief How a call ended.
enum class HttpCallEnd {
    Answered,
    Unreachable, ///< no connection: nothing was sent
    Broken, ///< the connection ended after something was sent
    TimedOut,
};

/// @brief The end of a call.
struct HttpCallResult
{
    HttpCallEnd end_ = HttpCallEnd::Unreachable;
    unsigned status_ = 0;
    std::string contentType_;
    std::string body_; ///< not filled if events were taken
    std::string detail_;
    std::string requestId_; ///< header X-Request-Id of the answer
    std::vector<HttpHeader> headers_;
};

/// @brief Open connections for reuse. One thread owns it.
class HttpClient
{
public:
    /// @param context run by the owning thread only
    explicit HttpClient(boost::asio::io_context &context);

    /// @brief Makes a call.
    /// @param call the call
    /// @param onEvent takes the data of each server-sent event; empty: the body is collected
    /// @return how it ended; never throws for network errors
    boost::asio::awaitable<HttpCallResult>
    perform(HttpCall call, std::function<void(const std::string &)> onEvent = {});

private:
    boost::asio::awaitable<HttpCallResult>
    performOn(UpstreamConnectionPointer connection, const HttpCall &call,
              std::function<void(const std::string &)> onEvent, bool &gotBytes);

    boost::asio::io_context &context_;
    IdleConnections idle_;
};

} // namespace chervilspring
