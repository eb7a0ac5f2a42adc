#include "chervilspring/detail/net/direct_server.hpp"

#include "chervilspring/detail/net/peer_disconnect.hpp"
#include "chervilspring/detail/net/read_limits.hpp"
#include "chervilspring/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cstdio>

namespace chervilspring {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr auto bodyReadTimeout = seconds(10);
constexpr auto acceptRetryDelay = milliseconds(10);
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusBodyTooLarge = 413;
constexpr unsigned statusHeaderTooLarge = 431;

// Cancels the pending operations on a connection's socket after a timeout, unless disarmed before.
class ReadDeadline
{
public:
    ReadDeadline(std::shared_ptr<CallerConnection> connection, nanoseconds timeout)
        : timer_(connection->socket_.get_executor(), timeout)
    {
        timer_.async_wait([connection](boost::system::error_code error) {
            boost::system::error_code ignored;
            if (!error)
                connection->socket_.cancel(ignored);
        });
    }

    void disarm() { timer_.cancel(); }

private:
    asio::steady_timer timer_;
};

std::string makeRefusal(unsigned status, nanoseconds retryAfter, const std::string &reason,
                        bool keepAlive)
{
    const std::string body = "{\"error\":{\"reason\":\"" + reason + "\"}}";
    std::string text = "HTTP/1.1 " + std::to_string(status) + " "
        + std::string(http::obsolete_reason(static_cast<http::status>(status)))
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n";
    if (retryAfter > nanoseconds(0)) {
        char value[32];
        std::snprintf(value, sizeof(value), "%.3f",
                      std::chrono::duration<double>(retryAfter).count());
        text += std::string("Retry-After: ") + value + "\r\n";
    }
    text += keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    return text + body;
}

} // namespace

DirectExchange::DirectExchange(std::uint64_t token, std::shared_ptr<CallerConnection> connection,
                               HttpRequest request, bool keepAlive)
    : token_(token), connection_(std::move(connection)), request_(std::move(request)),
      keepAlive_(keepAlive)
{ }

// Returns whether a complete answer can be written. After the start of another answer the caller
// could not tell the two apart, so the connection is closed.
bool DirectExchange::beginAnswer()
{
    if (phase_ != Phase::Waiting) {
        abort();
        return false;
    }
    phase_ = Phase::Answering;
    return true;
}

bool DirectExchange::refuse(unsigned status, nanoseconds retryAfter, const std::string &reason)
{
    if (!beginAnswer())
        return false;
    write(makeRefusal(status, retryAfter, reason, keepAlive_));
    return true;
}

bool DirectExchange::answer(std::string head, const std::string &body)
{
    if (!beginAnswer())
        return false;
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    head += keepAlive_ ? "\r\n" : "Connection: close\r\n\r\n";
    write(head + body);
    return true;
}

void DirectExchange::write(std::string bytes)
{
    auto text = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(
        connection_->socket_, asio::buffer(*text),
        [text, self = shared_from_this()](boost::system::error_code error, std::size_t) {
            boost::system::error_code ignored;
            if (error)
                self->connection_->socket_.close(ignored);
            else if (!self->keepAlive_)
                self->connection_->socket_.shutdown(tcp::socket::shutdown_send, ignored);
            self->end();
        });
}

asio::awaitable<bool> DirectExchange::stream(std::string head, std::string bytes, bool last)
{
    if (phase_ != Phase::Waiting && phase_ != Phase::Streaming)
        co_return false;
    std::string text = std::move(head);
    if (phase_ == Phase::Waiting)
        text += std::string("Transfer-Encoding: chunked\r\n")
            + (keepAlive_ ? "\r\n" : "Connection: close\r\n\r\n");
    phase_ = Phase::Streaming;
    if (!bytes.empty()) {
        char size[24];
        std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        text += size + bytes + "\r\n";
    }
    if (last)
        text += "0\r\n\r\n";
    const auto connection = connection_;
    boost::system::error_code error;
    co_await asio::async_write(connection->socket_, asio::buffer(text),
                               asio::redirect_error(use_awaitable, error));
    if (error) {
        abort();
        co_return false;
    }
    if (last) {
        boost::system::error_code ignored;
        if (!keepAlive_)
            connection->socket_.shutdown(tcp::socket::shutdown_send, ignored);
        end();
    }
    co_return true;
}

void DirectExchange::abort()
{
    if (ended())
        return;
    keepAlive_ = false;
    boost::system::error_code ignored;
    connection_->socket_.close(ignored);
    end();
}

void DirectExchange::onCallerGone()
{
    if (ended())
        return;
    keepAlive_ = false;
    end();
}

void DirectExchange::end()
{
    phase_ = Phase::Ended;
    connection_->exchangeEndSignal_.cancel();
}

DirectServer::DirectServer(asio::io_context &context, DirectHandlers handlers)
    : context_(context), handlers_(std::move(handlers)), acceptor_(context)
{ }

void DirectServer::listen(const tcp::endpoint &endpoint)
{
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    asio::co_spawn(context_, acceptLoop(), asio::detached);
}

void DirectServer::stop()
{
    stopped_ = true;
    closing_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto &[key, weak] : idleConnections_) {
        if (const auto connection = weak.lock())
            connection->socket_.cancel(ignored);
    }
}

asio::awaitable<void> DirectServer::acceptLoop()
{
    while (!stopped_) {
        boost::system::error_code error;
        tcp::socket socket =
            co_await acceptor_.async_accept(asio::redirect_error(use_awaitable, error));
        if (error && !stopped_) {
            // Out of file descriptors, or the connection was reset: a later accept may succeed.
            writeLog(LogLevel::Warn, "accept failed reason=" + error.message());
            asio::steady_timer pause(context_, acceptRetryDelay);
            co_await pause.async_wait(asio::redirect_error(use_awaitable, error));
            continue;
        }
        if (error)
            co_return;
        asio::co_spawn(context_,
                       serve(std::make_shared<CallerConnection>(std::move(socket), context_)),
                       asio::detached);
    }
}

asio::awaitable<void> DirectServer::serve(std::shared_ptr<CallerConnection> connection)
{
    ++openConnections_;
    beast::flat_buffer buffer;
    boost::system::error_code ignored;
    connection->socket_.set_option(tcp::no_delay(true), ignored);
    try {
        while (co_await serveOne(connection, buffer)) { }
    } catch (const std::exception &error) {
        writeLog(LogLevel::Debug, std::string("caller connection ended reason=") + error.what());
    }
    idleConnections_.erase(connection.get());
    --openConnections_;
    connection->socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<bool> DirectServer::readRequest(const std::shared_ptr<CallerConnection> &connection,
                                                beast::flat_buffer &buffer, HttpRequest &request)
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits_.headerBytes_);
    buffer.max_size(std::max<std::size_t>(maxUnparsedBytes, 2 * limits_.headerBytes_));
    parser.body_limit(limits_.bodyBytes_);
    boost::system::error_code error;
    if (buffer.size() == 0) {
        ReadDeadline idleDeadline(connection, limits_.idleTime_);
        buffer.commit(co_await connection->socket_.async_read_some(
            buffer.prepare(4096), asio::redirect_error(use_awaitable, error)));
        idleDeadline.disarm();
        if (error)
            co_return false; // closed by the caller, or idle for too long
    }
    ReadDeadline headerDeadline(connection, limits_.headerTime_);
    MessageSize messageSize;
    co_await readHead(connection->socket_, buffer, parser, messageSize, error);
    headerDeadline.disarm();
    if (!error && !parser.is_done()) {
        ReadDeadline bodyDeadline(connection, bodyReadTimeout);
        co_await readBody(connection->socket_, buffer, parser, messageSize, error);
        bodyDeadline.disarm();
    }
    if (!error) {
        request = parser.release();
        co_return true;
    }
    unsigned status = 0;
    if (error == http::error::body_limit)
        status = statusBodyTooLarge;
    else if (error == http::error::header_limit)
        status = statusHeaderTooLarge;
    else if (error.category() == make_error_code(http::error::bad_method).category()
             && error != http::error::end_of_stream && error != http::error::partial_message)
        status = statusBadRequest;
    if (status != 0) {
        writeLog(LogLevel::Info,
                 "decision=end outcome=unreadable status=" + std::to_string(status)
                     + " detail=" + error.message());
        const std::string text = makeRefusal(status, nanoseconds(0), "unreadable", false);
        co_await asio::async_write(connection->socket_, asio::buffer(text),
                                   asio::redirect_error(use_awaitable, error));
    }
    co_return false;
}

// Detects that the caller disconnects while its request is in progress.
void DirectServer::watchForDisconnect(const std::shared_ptr<CallerConnection> &connection)
{
    if (connection->readWaitPending_)
        return;
    connection->readWaitPending_ = true;
    connection->socket_.async_wait(tcp::socket::wait_read,
                                   [this, connection](boost::system::error_code) {
                                       connection->readWaitPending_ = false;
                                       onReadable(*connection);
                                   });
}

void DirectServer::onReadable(CallerConnection &connection)
{
    const auto exchange = connection.currentExchange_.lock();
    if (!exchange || exchange->ended() || !isClosedByPeer(connection.socket_))
        return; // no request is in progress, or the bytes belong to the next one
    handlers_.onCallerGone_(exchange->token());
    exchange->onCallerGone();
}

asio::awaitable<bool> DirectServer::serveOne(const std::shared_ptr<CallerConnection> &connection,
                                             beast::flat_buffer &buffer)
{
    if (stopped_ && buffer.size() == 0)
        co_return false;
    idleConnections_[connection.get()] = connection;
    HttpRequest request;
    const bool complete = co_await readRequest(connection, buffer, request);
    idleConnections_.erase(connection.get());
    if (!complete)
        co_return false;
    const bool keepAlive = request.keep_alive() && !closing_;
    auto exchange =
        std::make_shared<DirectExchange>(nextToken_++, connection, std::move(request), keepAlive);
    ++busyConnections_;
    connection->currentExchange_ = exchange;
    handlers_.onRequest_(exchange);
    if (!exchange->ended() && buffer.size() == 0)
        watchForDisconnect(connection);
    while (!exchange->ended()) {
        boost::system::error_code ignored;
        co_await connection->exchangeEndSignal_.async_wait(
            asio::redirect_error(use_awaitable, ignored));
    }
    --busyConnections_;
    co_return exchange->keepAlive_ && connection->socket_.is_open();
}

} // namespace chervilspring
