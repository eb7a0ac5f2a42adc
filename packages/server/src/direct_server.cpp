#include "chervilspring/detail/net/direct_server.hpp"

#include "chervilspring/detail/net/peer_disconnect.hpp"
#include "chervilspring/detail/net/read_limits.hpp"
#include "chervilspring/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
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
constexpr auto closeTimeout = seconds(1); // for a caller to receive the last answer and close
constexpr std::size_t firstReadBytes = 4096; // of a request
// Memory of a request that is being read, besides its body: buffers and the parsed head.
constexpr std::size_t bytesPerRequest = 32u << 10;
constexpr std::size_t bytesPerServedRequest = 2u << 10; // likewise, once it was read
constexpr nanoseconds memoryRetryAfter = seconds(1); // stalled requests have been given up by then
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusRequestTimeout = 408; // the request was not run
constexpr unsigned statusBodyTooLarge = 413;
constexpr unsigned statusHeaderTooLarge = 431;
constexpr unsigned statusBadGateway = 502; // the request may run
constexpr unsigned statusUnavailable = 503; // the request was not run and will not be

// Cancels the pending operations on a connection's socket after a timeout, unless disarmed before.
class ReadDeadline
{
public:
    ReadDeadline(std::shared_ptr<CallerConnection> connection, nanoseconds timeout)
        : connection_(std::move(connection)), timer_(connection_->socket_.get_executor(), timeout)
    {
        const std::uint64_t number = ++connection_->lastDeadline_;
        connection_->armedDeadline_ = number;
        timer_.async_wait([connection = connection_, number](boost::system::error_code error) {
            boost::system::error_code ignored;
            if (!error && connection->armedDeadline_ == number)
                connection->socket_.cancel(ignored);
        });
    }

    // The number tells the handler of a timer that had already expired, which can't be cancelled.
    void disarm()
    {
        connection_->armedDeadline_ = 0;
        timer_.cancel();
    }

private:
    std::shared_ptr<CallerConnection> connection_;
    asio::steady_timer timer_;
};

// Reads what has arrived, up to a limit. Returns false if the peer has closed the connection.
bool readArrived(tcp::socket &socket, beast::flat_buffer &buffer)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    const std::size_t room = maxUnparsedBytes - std::min(maxUnparsedBytes, buffer.size());
    buffer.commit(socket.read_some(buffer.prepare(std::min(room, firstReadBytes)), error));
    return !error || error == asio::error::would_block || error == asio::error::try_again;
}

// Runs a step of reading until a deadline. What has arrived by then is still read: if this process
// was paused, it sees the end of the time before the bytes.
template<typename Step>
asio::awaitable<void> readInTime(std::shared_ptr<CallerConnection> connection, nanoseconds timeout,
                                 Step step, boost::system::error_code &error)
{
    ReadDeadline deadline(connection, timeout);
    co_await step();
    deadline.disarm();
    boost::system::error_code ignored;
    while (error == asio::error::operation_aborted && !connection->evicted_
           && connection->socket_.available(ignored) > 0) {
        error = {};
        ReadDeadline expired(connection, nanoseconds(0));
        co_await step();
        expired.disarm();
    }
}

// Waits until the caller has closed its side of a connection on which the server has ended its
// answers, or a time has passed: closing a socket with unread bytes resets the connection, which
// destroys what the caller hasn't received yet.
asio::awaitable<void> waitForClose(std::shared_ptr<CallerConnection> connection)
{
    boost::system::error_code error;
    ReadDeadline deadline(connection, closeTimeout);
    co_await connection->socket_.async_wait(tcp::socket::wait_read,
                                            asio::redirect_error(use_awaitable, error));
    if (!error && !isClosedByPeer(connection->socket_)) {
        // The bytes belong to no request that is answered; they stay unread.
        co_await connection->socket_.async_wait(tcp::socket::wait_error,
                                                asio::redirect_error(use_awaitable, error));
    }
    deadline.disarm();
}

// Does the same for a caller that is still sending a request that is not read completely.
asio::awaitable<void> discardUntilClose(std::shared_ptr<CallerConnection> connection,
                                        std::size_t maxBytes)
{
    boost::system::error_code error;
    std::string discarded(maxReadBytes, '\0');
    std::size_t total = connection->buffer_.size();
    ReadDeadline deadline(connection, closeTimeout);
    while (!error && total < maxBytes)
        total += co_await connection->socket_.async_read_some(
            asio::buffer(discarded), asio::redirect_error(use_awaitable, error));
    deadline.disarm();
}

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
        onCallerGone();
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
    if (onGone_)
        onGone_();
}

void DirectExchange::end()
{
    phase_ = Phase::Ended;
    connection_->exchangeEndSignal_.cancel();
}

DirectServer::DirectServer(asio::io_context &context, DirectHandlers handlers)
    : context_(context), handlers_(std::move(handlers)), acceptor_(context)
{
    memory_->limitBytes_ = std::numeric_limits<std::size_t>::max() / 2;
}

void DirectServer::setTotals(std::size_t requestBytes, std::size_t connections)
{
    memory_->limitBytes_ = requestBytes;
    maxConnections_ = connections;
}

void DirectServer::evict(CallerConnection &connection)
{
    ++evictions_;
    connection.evicted_ = true;
    boost::system::error_code ignored;
    connection.socket_.cancel(ignored);
}

void DirectServer::evictOldestConnection()
{
    std::shared_ptr<CallerConnection> oldest;
    for (const auto &[key, weak] : connections_) {
        const auto connection = weak.lock();
        const bool mayGo = connection && !connection->evicted_
            && (connection->phase_ == ConnectionPhase::Idle
                || connection->phase_ == ConnectionPhase::Reading);
        if (mayGo && (!oldest || connection->phaseSince_ < oldest->phaseSince_))
            oldest = connection;
    }
    if (oldest)
        evict(*oldest);
}

bool DirectServer::holdBytes(const std::shared_ptr<CallerConnection> &connection, std::size_t bytes)
{
    if (connection->evicted_)
        return false;
    const MemoryDecision decision =
        holdRequest(*memory_, connection->requestId_, bytes, BootClock::now());
    for (const std::uint64_t id : decision.evicted_) {
        const auto found = receiving_.find(id);
        const auto other = found == receiving_.end() ? nullptr : found->second.lock();
        if (other)
            evict(*other);
    }
    if (!decision.isAdmitted_) {
        ++evictions_;
        connection->evicted_ = true;
    }
    return decision.isAdmitted_;
}

std::uint16_t DirectServer::listen(const tcp::endpoint &endpoint)
{
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    asio::co_spawn(context_, acceptLoop(), asio::detached);
    return acceptor_.local_endpoint().port();
}

void DirectServer::setLimits(const CallerLimits &limits)
{
    if (limitsSet_ && limits.idleTime_ != limits_.idleTime_) {
        previousIdleTime_ = idleTime();
        idleTimeChangedAt_ = BootClock::now();
    }
    limits_ = limits;
    limitsSet_ = true;
}

nanoseconds DirectServer::idleTime() const
{
    const bool changedRecently = BootClock::now() - idleTimeChangedAt_ < previousIdleTime_;
    return changedRecently ? std::max<nanoseconds>(previousIdleTime_, limits_.idleTime_)
                           : limits_.idleTime_;
}

void DirectServer::closeAfterAnswers()
{
    closing_ = true;
    for (const auto &[key, weak] : connections_) {
        const auto connection = weak.lock();
        const auto exchange = connection ? connection->currentExchange_.lock() : nullptr;
        if (exchange && !exchange->headSent() && connection->buffer_.size() == 0)
            exchange->keepAlive_ = false;
    }
}

void DirectServer::stop()
{
    stopped_ = true;
    closing_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto &[key, weak] : connections_) {
        const auto connection = weak.lock();
        if (connection && connection->phase_ == ConnectionPhase::Idle)
            connection->socket_.cancel(ignored);
    }
}

std::size_t DirectServer::busyConnections() const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [](const auto &item) {
            const auto connection = item.second.lock();
            return connection
                && (connection->phase_ == ConnectionPhase::Reading
                    || connection->phase_ == ConnectionPhase::Answering);
        }));
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
        if (connections_.size() >= maxConnections_)
            evictOldestConnection();
        asio::co_spawn(context_,
                       serve(std::make_shared<CallerConnection>(std::move(socket), context_)),
                       asio::detached);
    }
}

asio::awaitable<void> DirectServer::serve(std::shared_ptr<CallerConnection> connection)
{
    connections_[connection.get()] = connection;
    boost::system::error_code ignored;
    connection->socket_.set_option(tcp::no_delay(true), ignored);
    try {
        while (co_await serveOne(connection)) { }
    } catch (const std::exception &error) {
        writeLog(LogLevel::Error, std::string("caller connection failed reason=") + error.what());
    }
    connections_.erase(connection.get());
    connection->socket_.shutdown(tcp::socket::shutdown_send, ignored);
    connection->socket_.close(ignored); // a pending wait would keep it open
}

asio::awaitable<bool>
DirectServer::waitForRequest(const std::shared_ptr<CallerConnection> &connection)
{
    beast::flat_buffer &buffer = connection->buffer_;
    const Instant idleSince = BootClock::now();
    Instant idleUntil = idleSince + idleTime();
    connection->phaseSince_ = idleSince;
    if (buffer.size() == 0 && buffer.capacity() > firstReadBytes)
        buffer.shrink_to_fit(); // thousands of connections may be idle
    while (buffer.size() == 0) {
        connection->phase_ = ConnectionPhase::Idle;
        if (connection->evicted_)
            co_return false;
        boost::system::error_code error;
        ReadDeadline deadline(connection, stopped_ ? nanoseconds(0) : idleUntil - BootClock::now());
        buffer.commit(co_await connection->socket_.async_read_some(
            buffer.prepare(firstReadBytes), asio::redirect_error(use_awaitable, error)));
        deadline.disarm();
        if (error && error != asio::error::operation_aborted)
            co_return false; // closed by the caller
        idleUntil = std::max(idleUntil, idleSince + idleTime());
        // Bytes that arrived before the read was cancelled belong to a request.
        const bool expired = stopped_ || BootClock::now() >= idleUntil;
        if (error && expired && connection->socket_.available(error) == 0)
            co_return false;
    }
    connection->phase_ = ConnectionPhase::Reading;
    connection->phaseSince_ = BootClock::now();
    co_return true;
}

asio::awaitable<void> DirectServer::readBodyWithin(std::shared_ptr<CallerConnection> connection,
                                                   http::request_parser<http::string_body> &parser,
                                                   MessageSize &messageSize,
                                                   boost::system::error_code &error)
{
    const auto length = parser.content_length();
    while (!error && !parser.is_done()) {
        const auto &body = parser.get().body();
        const std::size_t bytes = bytesPerRequest
            + (length ? std::max<std::size_t>(*length, body.size()) : body.capacity());
        if (!holdBytes(connection, bytes)) {
            error = asio::error::no_memory;
            co_return;
        }
        co_await parseOrReadSome(connection->socket_, connection->buffer_, parser, messageSize,
                                 error);
        messageSize.bodyBytes_ = parser.get().body().size();
        if (!error && !isWithinLimit(messageSize))
            error = http::error::body_limit;
    }
}

asio::awaitable<bool> DirectServer::readRequest(const std::shared_ptr<CallerConnection> &connection,
                                                HttpRequest &request)
{
    if (!co_await waitForRequest(connection))
        co_return false;
    connection->requestId_ = nextRequestId_++;
    receiving_[connection->requestId_] = connection;
    boost::system::error_code error;
    if (holdBytes(connection, bytesPerRequest))
        co_await readWithin(connection, request, error);
    else
        error = asio::error::no_memory;
    receiving_.erase(connection->requestId_);
    if (!error && !connection->evicted_) {
        completeRequest(*memory_, connection->requestId_,
                        bytesPerServedRequest + request.body().capacity());
        co_return true;
    }
    releaseRequest(*memory_, connection->requestId_);
    if (connection->evicted_)
        error = asio::error::no_memory;
    co_await refuseUnread(connection, error);
    co_return false;
}

asio::awaitable<void> DirectServer::readWithin(std::shared_ptr<CallerConnection> connection,
                                               HttpRequest &request,
                                               boost::system::error_code &error)
{
    beast::flat_buffer &buffer = connection->buffer_;
    buffer.max_size(std::max<std::size_t>(maxUnparsedBytes, 2 * limits_.headerBytes_));
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits_.headerBytes_);
    parser.body_limit(limits_.bodyBytes_);
    MessageSize messageSize;
    const auto head = [&] {
        return readHead(connection->socket_, buffer, parser, messageSize, error);
    };
    const auto body = [&] { return readBodyWithin(connection, parser, messageSize, error); };
    co_await readInTime(connection, limits_.headerTime_, head, error);
    if (!error && !parser.is_done())
        co_await readInTime(connection, bodyReadTimeout, body, error);
    if (!error)
        request = parser.release();
}

asio::awaitable<void> DirectServer::refuseUnread(std::shared_ptr<CallerConnection> connection,
                                                 boost::system::error_code error)
{
    unsigned status = 0;
    nanoseconds retryAfter{0};
    if (error == asio::error::no_memory) {
        status = statusUnavailable;
        retryAfter = memoryRetryAfter;
    } else if (error == asio::error::operation_aborted)
        status = statusRequestTimeout;
    else if (error == http::error::body_limit)
        status = statusBodyTooLarge;
    else if (error == http::error::header_limit)
        status = statusHeaderTooLarge;
    else if (error.category() == make_error_code(http::error::bad_method).category()
             && error != http::error::end_of_stream && error != http::error::partial_message)
        status = statusBadRequest;
    if (status != 0) {
        const std::string outcome = status == statusUnavailable ? "no_room" : "unreadable";
        writeLog(LogLevel::Info,
                 "decision=end outcome=" + outcome + " status=" + std::to_string(status)
                     + " detail="
                     + (status == statusRequestTimeout ? "incomplete in time" : error.message())
                     + " request_bytes=" + std::to_string(memory_->usedBytes_));
        const std::string text = makeRefusal(status, retryAfter, outcome, false);
        co_await asio::async_write(connection->socket_, asio::buffer(text),
                                   asio::redirect_error(use_awaitable, error));
        connection->phase_ = ConnectionPhase::Closing;
        connection->socket_.shutdown(tcp::socket::shutdown_send, error);
        co_await discardUntilClose(connection, 2 * std::size_t{limits_.bodyBytes_});
    }
}

void DirectServer::watchForDisconnect(const std::shared_ptr<CallerConnection> &connection)
{
    // Behind that many unread bytes a disconnect is noticed when the answer is written.
    const bool full = connection->buffer_.size() >= maxUnparsedBytes;
    if (full || connection->readWaitPending_)
        return;
    connection->readWaitPending_ = true;
    connection->socket_.async_wait(tcp::socket::wait_read,
                                   [this, connection](boost::system::error_code) {
                                       connection->readWaitPending_ = false;
                                       onReadable(connection);
                                   });
}

void DirectServer::onReadable(const std::shared_ptr<CallerConnection> &connection)
{
    const auto exchange = connection->currentExchange_.lock();
    if (!exchange || exchange->ended())
        return; // readRequest() reads
    // A disconnect behind bytes of further requests can't be seen before they are read. If the
    // connection closes after this answer, they stay unread, so that they may be sent again.
    const bool closes =
        !exchange->request().keep_alive() || (exchange->headSent() && !exchange->keepAlive_);
    if (closes && !isClosedByPeer(connection->socket_))
        return;
    if (!closes && readArrived(connection->socket_, connection->buffer_)) {
        if (connection->buffer_.size() > 0 && !exchange->headSent())
            exchange->keepAlive_ = true; // see closeAfterAnswers()
        watchForDisconnect(connection);
        return;
    }
    exchange->onCallerGone();
}

void DirectServer::passOn(const DirectExchangePointer &exchange)
{
    try {
        handlers_.onRequest_(exchange);
        return;
    } catch (const std::exception &error) {
        writeLog(LogLevel::Error, std::string("request failed reason=") + error.what());
    }
    unsigned status = statusUnavailable;
    try {
        handlers_.onCallerGone_(exchange->token());
    } catch (const std::exception &error) {
        writeLog(LogLevel::Error, std::string("request not given up reason=") + error.what());
        status = statusBadGateway; // it may be sent to an upstream yet
    }
    if (!exchange->headSent())
        exchange->refuse(status, nanoseconds(0), "internal_error");
}

asio::awaitable<bool> DirectServer::serveOne(const std::shared_ptr<CallerConnection> &connection)
{
    HttpRequest request;
    if (!co_await readRequest(connection, request))
        co_return false;
    connection->phase_ = ConnectionPhase::Answering;
    const bool keepAlive = request.keep_alive() && !(closing_ && connection->buffer_.size() == 0);
    auto exchange =
        std::make_shared<DirectExchange>(nextToken_++, connection, std::move(request), keepAlive);
    exchange->onGone_ = [this, token = exchange->token()] { handlers_.onCallerGone_(token); };
    exchange->memory_ = std::shared_ptr<void>(
        nullptr, [memory = memory_, id = std::exchange(connection->requestId_, 0)](void *) {
            releaseRequest(*memory, id);
        });
    connection->currentExchange_ = exchange;
    passOn(exchange);
    if (!exchange->ended())
        watchForDisconnect(connection);
    while (!exchange->ended()) {
        boost::system::error_code ignored;
        co_await connection->exchangeEndSignal_.async_wait(
            asio::redirect_error(use_awaitable, ignored));
    }
    if (exchange->keepAlive_ || !connection->socket_.is_open())
        co_return connection->socket_.is_open();
    connection->phase_ = ConnectionPhase::Closing;
    co_await waitForClose(connection);
    co_return false;
}

} // namespace chervilspring
