#include "chervilspring/detail/net/http_server.hpp"

#include "chervilspring/detail/net/peer_disconnect.hpp"
#include "chervilspring/detail/net/read_limits.hpp"
#include "chervilspring/error.hpp"
#include "chervilspring/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace chervilspring {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr auto writeTimeout = seconds(10); // for a caller that does not read
constexpr auto idlePollInterval = milliseconds(10); // of HttpServer::whenIdle()
constexpr std::size_t maxHeaderBytes = 16384;
constexpr auto acceptRetryDelay = milliseconds(10); // if the process is out of file descriptors
constexpr unsigned statusInternalError = 500;
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

HttpExchange::HttpExchange(asio::io_context &context, HttpRequest request)
    : request_(std::move(request)), updateSignal_(context)
{
    updateSignal_.expires_at(asio::steady_timer::time_point::max());
}

std::string HttpExchange::path() const
{
    const std::string target(request_.target());
    return target.substr(0, target.find('?'));
}

std::string HttpExchange::header(const std::string &name) const
{
    const auto found = request_.find(name);
    return found == request_.end() ? std::string() : std::string(found->value());
}

std::string HttpExchange::bearer() const
{
    const std::string value = header("Authorization");
    static constexpr std::string_view prefix = "Bearer ";
    return value.starts_with(prefix) ? value.substr(prefix.size()) : std::string();
}

void HttpExchange::answer(HttpAnswer answer)
{
    if (ended_)
        return;
    ended_ = true;
    answers_.push_back(std::move(answer));
    updateSignal_.cancel();
}

void HttpExchange::sendEvent(const std::string &data)
{
    if (ended_)
        return;
    streaming_ = true;
    events_.push_back("data: " + data + "\n\n");
    updateSignal_.cancel();
}

void HttpExchange::endStream()
{
    ended_ = true;
    updateSignal_.cancel();
}

HttpServer::HttpServer(asio::io_context &context, HttpLimits limits,
                       std::function<void(HttpExchangePointer)> handler)
    : context_(context), limits_(limits), handler_(std::move(handler)), idleTimer_(context)
{ }

std::uint16_t HttpServer::listen(const std::string &address, std::uint16_t port, bool shared)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address), port);
    acceptor_ = std::make_unique<tcp::acceptor>(context_);
    acceptor_->open(endpoint.protocol());
    acceptor_->set_option(tcp::acceptor::reuse_address(true));
    if (shared)
        acceptor_->set_option(ReusePort(true));
    acceptor_->bind(endpoint);
    acceptor_->listen();
    asio::co_spawn(context_, acceptLoop(), asio::detached);
    return acceptor_->local_endpoint().port();
}

void HttpServer::stopAccepting()
{
    stopping_ = true;
    if (!acceptor_)
        return;
    boost::system::error_code ignored;
    acceptor_->close(ignored);
}

void HttpServer::whenIdle(Instant deadline, std::function<void()> done)
{
    if (busyConnections_ == 0 || BootClock::now() >= deadline) {
        done();
        return;
    }
    idleTimer_.expires_after(idlePollInterval);
    idleTimer_.async_wait(
        [this, deadline, done = std::move(done)](boost::system::error_code error) {
            if (!error)
                whenIdle(deadline, done);
        });
}

asio::awaitable<void> HttpServer::acceptLoop()
{
    while (!stopping_) {
        boost::system::error_code error;
        tcp::socket socket =
            co_await acceptor_->async_accept(asio::redirect_error(use_awaitable, error));
        if (error && stopping_)
            co_return;
        if (error) {
            writeLog(LogLevel::Warn, "accept failed reason=" + error.message());
            asio::steady_timer pause(context_, acceptRetryDelay);
            co_await pause.async_wait(asio::redirect_error(use_awaitable, error));
            continue;
        }
        asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> HttpServer::serve(tcp::socket socket)
{
    Stream stream(std::move(socket));
    beast::flat_buffer buffer(maxUnparsedBytes);
    try {
        boost::system::error_code ignored;
        stream.socket().set_option(tcp::no_delay(true), ignored);
        while (co_await serveOne(stream, buffer)) { }
    } catch (const std::exception &) {
        // The connection failed or timed out.
    }
    boost::system::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<bool> HttpServer::serveOne(Stream &stream, beast::flat_buffer &buffer)
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(limits_.maxBodyBytes_);
    parser.header_limit(maxHeaderBytes);
    stream.expires_after(limits_.readTimeout_);
    boost::system::error_code error;
    MessageSize messageSize;
    co_await readHead(stream, buffer, parser, messageSize, error);
    co_await readBody(stream, buffer, parser, messageSize, error);
    if (error == http::error::body_limit) {
        co_await refuse(stream, 413,
                        "the body is larger than " + std::to_string(limits_.maxBodyBytes_)
                            + " bytes");
        co_return false;
    }
    if (error == beast::error::timeout && parser.got_some()) {
        // The timeout closed the socket, so no error answer can be sent.
        co_return false;
    }
    if (error == http::error::end_of_stream || error == beast::error::timeout)
        co_return false;
    if (error) {
        co_await refuse(stream, 400, "not an HTTP/1.1 request: " + error.message());
        co_return false;
    }
    stream.expires_never();
    const bool keepAlive = parser.get().keep_alive() && !stopping_;
    auto exchange = std::make_shared<HttpExchange>(context_, parser.release());
    ++busyConnections_;
    bool callerConnected = false;
    try {
        passOn(exchange);
        callerConnected = co_await waitForAnswer(stream, exchange);
        if (!callerConnected) {
            if (exchange->onGone_)
                exchange->onGone_();
        } else if (exchange->streaming_) {
            co_await writeStream(stream, exchange);
        } else {
            co_await writeAnswer(stream, exchange->answers_.front(), keepAlive && !stopping_);
        }
    } catch (const std::exception &) {
        if (!exchange->ended_ && exchange->onGone_)
            exchange->onGone_();
        callerConnected = false;
    }
    exchange->onGone_ = nullptr;
    --busyConnections_;
    co_return callerConnected &&keepAlive && !exchange->streaming_ && !stopping_;
}

void HttpServer::passOn(const HttpExchangePointer &exchange)
{
    try {
        handler_(exchange);
    } catch (const std::exception &error) {
        writeLog(LogLevel::Error,
                 "request failed path=" + exchange->path() + " reason=" + error.what());
        if (exchange->streaming_)
            throw; // the end of the connection shows that the stream is incomplete
        HttpAnswer answer;
        answer.status_ = statusInternalError;
        answer.body_ = errorBody(static_cast<int>(ErrorId::InternalError), "may_have_run",
                                 "handle request", "", error.what());
        exchange->answer(std::move(answer));
    }
}

asio::awaitable<bool> HttpServer::waitForAnswer(Stream &stream, HttpExchangePointer exchange)
{
    using namespace asio::experimental::awaitable_operators;
    bool watchForDisconnect = true;
    while (!exchange->ended_ && !exchange->streaming_) {
        boost::system::error_code error;
        if (!watchForDisconnect) {
            co_await exchange->updateSignal_.async_wait(asio::redirect_error(use_awaitable, error));
            continue;
        }
        boost::system::error_code readError;
        const auto completed =
            co_await (exchange->updateSignal_.async_wait(asio::redirect_error(use_awaitable, error))
                      || stream.socket().async_wait(
                          tcp::socket::wait_read, asio::redirect_error(use_awaitable, readError)));
        if (completed.index() == 0)
            continue;
        if (readError || isClosedByPeer(stream.socket()))
            co_return false;
        watchForDisconnect = false; // the next request has already arrived
    }
    co_return true;
}

asio::awaitable<void> HttpServer::writeAnswer(Stream &stream, const HttpAnswer &answer,
                                              bool keepAlive)
{
    http::response<http::string_body> response(static_cast<http::status>(answer.status_), 11);
    response.set(http::field::content_type, answer.contentType_);
    for (const HttpHeader &header : answer.headers_)
        response.set(header.name_, header.value_);
    response.keep_alive(keepAlive);
    response.body() = answer.body_;
    response.prepare_payload();
    stream.expires_after(writeTimeout);
    co_await http::async_write(stream, response, use_awaitable);
}

asio::awaitable<void> HttpServer::writeStream(Stream &stream, HttpExchangePointer exchange)
{
    http::response<http::empty_body> response(http::status::ok, 11);
    response.set(http::field::content_type, "text/event-stream");
    response.set(http::field::cache_control, "no-store");
    response.chunked(true);
    response.keep_alive(false);
    http::response_serializer<http::empty_body> serializer(response);
    stream.expires_after(writeTimeout);
    co_await http::async_write_header(stream, serializer, use_awaitable);
    while (!exchange->ended_ || !exchange->events_.empty()) {
        if (exchange->events_.empty()) {
            boost::system::error_code error;
            stream.expires_never();
            co_await exchange->updateSignal_.async_wait(asio::redirect_error(use_awaitable, error));
            continue;
        }
        std::string batch;
        for (const std::string &event : exchange->events_)
            batch += event;
        exchange->events_.clear();
        stream.expires_after(writeTimeout);
        co_await asio::async_write(stream, http::make_chunk(asio::buffer(batch)), use_awaitable);
    }
    stream.expires_after(writeTimeout);
    co_await asio::async_write(stream, http::make_chunk_last(), use_awaitable);
}

asio::awaitable<void> HttpServer::refuse(Stream &stream, unsigned status, std::string detail)
{
    const ErrorId id = status == 413 ? ErrorId::BodyTooLarge : ErrorId::BadJson;
    HttpAnswer answer;
    answer.status_ = status;
    answer.body_ = errorBody(static_cast<int>(id), "not_run", "read request", "", detail);
    co_await writeAnswer(stream, answer, false);
}

std::string errorBody(int errorId, const std::string &ran, const std::string &step,
                      const std::string &peer, const std::string &detail,
                      const std::string &requestId)
{
    boost::json::object error;
    error["id"] = "CS-" + std::to_string(errorId);
    error["ran"] = ran;
    error["step"] = step;
    error["peer"] = peer;
    error["detail"] = detail;
    if (!requestId.empty())
        error["request"] = requestId;
    return boost::json::serialize(boost::json::object{{"error", error}});
}

} // namespace chervilspring
