/// @file
/// @brief HTTP/1.1 server on top of Boost.Beast. Not thread-safe.
#pragma once

#include "chervilspring/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chervilspring {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// @brief A header field of a request or an answer.
struct HttpHeader
{
    std::string name_;
    std::string value_;
};

/// @brief A complete answer.
struct HttpAnswer
{
    unsigned status_ = 200;
    std::string contentType_ = "application/json";
    std::vector<HttpHeader> headers_;
    std::string body_;
};

/// @brief A request and the means to answer its caller. Used on the server's thread only.
class HttpExchange
{
public:
    /// @param context I/O context of the server
    /// @param request the complete request
    HttpExchange(boost::asio::io_context &context, HttpRequest request);

    const HttpRequest &request() const { return request_; }

    /// @brief Returns the path without the query.
    std::string path() const;

    /// @brief Returns the value of a header, or an empty string if it is absent.
    std::string header(const std::string &name) const;

    /// @brief Returns the bearer token of the header Authorization, or an empty string if absent.
    std::string bearer() const;

    /// @brief Sends a complete answer. Only the first call has an effect.
    void answer(HttpAnswer answer);

    /// @brief Sends a server-sent event; the first one starts the stream.
    /// @param data value of the field "data"
    void sendEvent(const std::string &data);

    /// @brief Ends the stream.
    void endStream();

    /// @brief Whether a stream was started.
    bool streaming() const { return streaming_; }

    /// Called if the caller disconnects before an answer or the end of the stream was passed in.
    std::function<void()> onGone_;

private:
    friend class HttpServer;
    HttpRequest request_;
    boost::asio::steady_timer updateSignal_; ///< cancelled when there is something to write
    std::deque<HttpAnswer> answers_; ///< empty or the one answer
    std::deque<std::string> events_; ///< encoded events that were not written yet
    bool streaming_ = false; ///< sendEvent() was called
    bool ended_ = false; ///< answer() or endStream() was called
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;

/// @brief Limits on the requests that a server accepts.
struct HttpLimits
{
    std::size_t maxBodyBytes_ = 1048576;
    milliseconds readTimeout_{5000}; ///< timeout for reading a complete request
};

/// @brief Accepts connections and hands each request to a handler.
class HttpServer
{
public:
    /// @param context run by the owning thread only
    /// @param limits limits on requests
    /// @param handler called for each request; it may answer immediately or later
    HttpServer(boost::asio::io_context &context, HttpLimits limits,
               std::function<void(HttpExchangePointer)> handler);

    /// @brief Starts accepting connections.
    /// @param address IP address
    /// @param port port, or 0 for any free port
    /// @param shared whether several servers listen on the same port (SO_REUSEPORT)
    /// @return the port that was bound
    /// @throws boost::system::system_error if the port cannot be bound
    std::uint16_t listen(const std::string &address, std::uint16_t port, bool shared = false);

    /// @brief Stops accepting; open connections close after the request in progress.
    void stopAccepting();

    /// @brief Returns the number of connections with a request in progress.
    std::size_t busyConnections() const { return busyConnections_; }

    /// @brief Waits until no request is in progress. To be called once, after stopAccepting().
    /// @param deadline end of the wait in any case
    /// @param done called after the wait
    void whenIdle(Instant deadline, std::function<void()> done);

private:
    using Stream = boost::beast::tcp_stream;
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    /// Serves one request. Returns whether the connection stays open for another one.
    boost::asio::awaitable<bool> serveOne(Stream &stream, boost::beast::flat_buffer &buffer);
    /// Passes a request to the handler, and answers it if the handler throws.
    void passOn(const HttpExchangePointer &exchange);
    boost::asio::awaitable<void> refuse(Stream &stream, unsigned status, std::string detail);
    /// Waits for an answer or the first event. Returns false if the caller disconnects before.
    boost::asio::awaitable<bool> waitForAnswer(Stream &stream, HttpExchangePointer exchange);
    boost::asio::awaitable<void> writeAnswer(Stream &stream, const HttpAnswer &answer,
                                             bool keepAlive);
    boost::asio::awaitable<void> writeStream(Stream &stream, HttpExchangePointer exchange);

    boost::asio::io_context &context_;
    HttpLimits limits_;
    std::function<void(HttpExchangePointer)> handler_;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    boost::asio::steady_timer idleTimer_; ///< polls for whenIdle()
    std::size_t busyConnections_ = 0;
    bool stopping_ = false; ///< stopAccepting() was called
};

/// @brief Builds the JSON body of an error answer.
/// @param errorId numeric value of an ErrorId
/// @param ran "not_run", "may_have_run" or "ran"
/// @param step operation that failed
/// @param peer process or upstream involved; may be empty
/// @param detail description for humans
/// @param requestId id of the request; empty omits it
std::string errorBody(int errorId, const std::string &ran, const std::string &step,
                      const std::string &peer, const std::string &detail,
                      const std::string &requestId = {});

} // namespace chervilspring
