#include "chervilspring/detail/net/peer_network.hpp"

#include "chervilspring/digest.hpp"
#include "chervilspring/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace chervilspring {

namespace asio = boost::asio;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr auto handshakeTimeout = milliseconds(1000);
constexpr auto dialBackoff = milliseconds(100); // between a handshake timeout and the next dial
constexpr auto acceptRetryDelay = milliseconds(100);
constexpr auto pingCheckInterval = milliseconds(100);
// A connection is active for activePeriod after each message that carries work, and idle otherwise.
constexpr nanoseconds activePingInterval = milliseconds(400);
constexpr nanoseconds idlePingInterval = seconds(5);
constexpr nanoseconds activePeriod = seconds(2);
constexpr nanoseconds pingTimeout = milliseconds(1200);
constexpr nanoseconds maxFrameDelay = milliseconds(1500);
constexpr std::size_t maxPendingMessages = 1024; // messages to one peer that wait for a connection
constexpr std::size_t maxQueuedBytes = 128u << 20; // unwritten bytes of one connection
constexpr std::size_t maxHandshakeFrameBytes = 256;

// Whether a message makes a connection active. Heartbeats are repeated periodically anyway, so they
// do not require frequent pings.
bool carriesWork(const Message &message)
{
    return !std::holds_alternative<Ping>(message) && !std::holds_alternative<Heartbeat>(message)
        && !std::holds_alternative<HeartbeatReply>(message);
}

void logRejected(const Error &error, const std::string &remote)
{
    writeLog(LogLevel::Warn, "connection rejected " + toString(error) + " remote=" + remote);
}

// Runs a step of the handshake that returns leaf::result; throws system_error if it fails.
template<typename Attempt> auto requireValid(Attempt &&attempt, const std::string &remote)
{
    using Value = std::decay_t<decltype(attempt().value())>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<Value> { return attempt(); },
        [&](const Error &error) -> Value {
            logRejected(error, remote);
            throw boost::system::system_error(asio::error::access_denied);
        },
        []() -> Value { throw boost::system::system_error(asio::error::access_denied); });
}

std::string remoteEndpointText(const tcp::socket &socket)
{
    boost::system::error_code ignored;
    const auto endpoint = socket.remote_endpoint(ignored);
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

struct PeerNetwork::PeerConnection
{
    explicit PeerConnection(tcp::socket socket, asio::io_context &context)
        : socket_(std::move(socket)), writerSignal_(context)
    {
        writerSignal_.expires_at(asio::steady_timer::time_point::max());
    }

    tcp::socket socket_;
    FrameBuffer received_; ///< read from socket_
    asio::steady_timer writerSignal_; ///< cancelled when there is a frame to write, or at closing
    PeerIdentity peer_; ///< identity that the peer proved in the handshake
    std::string expectedPeerName_; ///< name of the dialled peer; empty: an accepted connection
    std::deque<std::string> queue_; ///< encoded frames that were not written yet
    std::size_t queuedBytes_ = 0; ///< total size of queue_
    std::unique_ptr<FrameDelayEstimator> delayEstimator_; ///< set by the handshake
    Instant lastWorkAt_{}; ///< when the last message that carries work was queued or received
    Instant lastPingAt_{}; ///< when the last ping was queued
    /// When the first ping since the last received frame was queued; zero: there was none.
    Instant unansweredSince_{};
    std::uint64_t pingSequence_ = 0;
    bool registered_ = false; ///< whether connections_ contains it
    bool closed_ = false;
};

PeerNetwork::PeerNetwork(asio::io_context &context, PeerIdentity self, std::string secret,
                         PeerHandlers handlers)
    : context_(context), self_(std::move(self)), secret_(std::move(secret)),
      handlers_(std::move(handlers)), pingTimer_(context)
{
    asio::co_spawn(context_, pingLoop(), asio::detached);
}

PeerNetwork::~PeerNetwork()
{
    close();
}

std::uint16_t PeerNetwork::listen(const std::string &address, std::uint16_t port)
{
    acceptor_ = std::make_unique<tcp::acceptor>(
        context_, tcp::endpoint(asio::ip::make_address(address), port));
    asio::co_spawn(context_, acceptLoop(), asio::detached);
    return acceptor_->local_endpoint().port();
}

void PeerNetwork::setAddress(const std::string &peer, const PeerAddress &address)
{
    PeerAddress &known = addresses_[peer];
    if (known == address)
        return;
    known = address;
    dials_.erase(peer);
}

std::optional<PeerAddress> PeerNetwork::addressOf(const std::string &peer) const
{
    const auto known = addresses_.find(peer);
    if (known != addresses_.end())
        return known->second;
    boost::system::error_code error;
    asio::ip::make_address_v4(peer, error);
    if (error || defaultPort_ == 0)
        return std::nullopt;
    return PeerAddress{peer, defaultPort_};
}

bool PeerNetwork::connected(const std::string &peer) const
{
    const auto found = connections_.find(peer);
    return found != connections_.end() && !found->second.empty();
}

void PeerNetwork::send(const std::string &peer, const Message &message)
{
    const auto found = connections_.find(peer);
    if (found != connections_.end() && !found->second.empty()) {
        enqueue(found->second.back(), message);
        return;
    }
    const auto address = addressOf(peer);
    if (!address || closed_)
        return;
    auto &pending = pendingMessages_[peer];
    if (pending.size() < maxPendingMessages)
        pending.push_back(message);
    Dial &last = dials_[peer];
    if (last.inProgress_)
        return;
    const bool failedBefore = last.startAt_ != Instant{};
    const Instant earliest = last.startAt_ + handshakeTimeout + dialBackoff;
    const Instant now = BootClock::now();
    last = Dial{failedBefore ? std::max(now, earliest) : now, ++lastDialNumber_, true};
    asio::co_spawn(context_, dial(peer, *address, last), asio::detached);
}

void PeerNetwork::sendToAll(const std::vector<std::string> &peers, const Message &message)
{
    const std::string payload = encodeMessage(message);
    const bool isWork = carriesWork(message);
    for (const std::string &peer : peers) {
        const auto found = connections_.find(peer);
        if (found == connections_.end() || found->second.empty())
            send(peer, message);
        else
            enqueueEncoded(found->second.back(), payload, isWork);
    }
}

void PeerNetwork::close()
{
    closed_ = true;
    if (acceptor_) {
        boost::system::error_code ignored;
        acceptor_->close(ignored);
    }
    pingTimer_.cancel();
    const auto connections = std::exchange(connections_, {});
    for (const auto &[peer, peerConnections] : connections) {
        for (const ConnectionPointer &connection : peerConnections) {
            connection->registered_ = false;
            closeConnection(connection);
        }
    }
}

asio::awaitable<void> PeerNetwork::acceptLoop()
{
    while (!closed_) {
        boost::system::error_code error;
        tcp::socket socket =
            co_await acceptor_->async_accept(asio::redirect_error(use_awaitable, error));
        if (error && closed_)
            co_return;
        if (error) {
            // Out of file descriptors, or the connection was reset: a later accept may succeed.
            writeLog(LogLevel::Warn, "accept failed reason=" + error.message());
            asio::steady_timer pause(context_, acceptRetryDelay);
            co_await pause.async_wait(asio::redirect_error(use_awaitable, error));
            continue;
        }
        asio::co_spawn(context_,
                       serve(std::make_shared<PeerConnection>(std::move(socket), context_)),
                       asio::detached);
    }
}

asio::awaitable<void> PeerNetwork::serve(ConnectionPointer connection)
{
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer handshakeTimer(context_, handshakeTimeout);
    try {
        const auto done =
            co_await (handshakeAsListener(connection) || handshakeTimer.async_wait(use_awaitable));
        if (done.index() == 0) {
            registerConnection(connection);
            co_await readLoop(connection);
        }
    } catch (const std::exception &) {
        // The connection ended; closeConnection() notifies the owner.
    }
    closeConnection(connection);
}

void PeerNetwork::endDial(const std::string &peer, std::uint64_t number, bool connected)
{
    const auto found = dials_.find(peer);
    if (found == dials_.end() || found->second.number_ != number)
        return; // the address has changed meanwhile
    if (connected)
        dials_.erase(found);
    else
        found->second.inProgress_ = false;
}

asio::awaitable<void> PeerNetwork::dial(std::string peer, PeerAddress address, Dial dial)
{
    using namespace asio::experimental::awaitable_operators;
    auto connection = std::make_shared<PeerConnection>(tcp::socket(context_), context_);
    connection->expectedPeerName_ = peer;
    asio::steady_timer handshakeTimer(context_, dial.startAt_ - BootClock::now());
    try {
        co_await handshakeTimer.async_wait(use_awaitable);
        handshakeTimer.expires_after(handshakeTimeout);
        const tcp::endpoint endpoint(asio::ip::make_address(address.address_), address.port_);
        const auto connected = co_await (connection->socket_.async_connect(endpoint, use_awaitable)
                                         || handshakeTimer.async_wait(use_awaitable));
        if (connected.index() == 0) {
            const auto done = co_await (handshakeAsDialler(connection)
                                        || handshakeTimer.async_wait(use_awaitable));
            if (done.index() == 0) {
                endDial(peer, dial.number_, true);
                registerConnection(connection);
                co_await readLoop(connection);
            }
        }
    } catch (const std::exception &) {
        // Connecting or the handshake failed, or the connection ended.
    }
    const bool wasRegistered = connection->registered_;
    closeConnection(connection);
    if (!wasRegistered && !closed_) {
        endDial(peer, dial.number_, false);
        pendingMessages_.erase(peer);
        if (handlers_.onLost_)
            handlers_.onLost_(peer);
    }
}

asio::awaitable<void> PeerNetwork::handshakeAsListener(ConnectionPointer connection)
{
    tcp::socket &socket = connection->socket_;
    const std::string remote = remoteEndpointText(socket);
    Greeting sent{randomBytes(nonceBytes), self_};
    const std::string greeting = makeFrame(BootClock::now(), makeGreeting(sent.nonce_, self_));
    co_await asio::async_write(socket, asio::buffer(greeting), use_awaitable);
    const Frame proof = co_await readFrame(socket, connection->received_, maxHandshakeFrameBytes);
    const Greeting dialler =
        requireValid([&] { return checkProof(secret_, sent, proof.payload_); }, remote);
    const std::string confirmation =
        makeFrame(BootClock::now(), makeConfirmation(secret_, dialler.nonce_, sent));
    co_await asio::async_write(socket, asio::buffer(confirmation), use_awaitable);
    connection->peer_ = dialler.identity_;
    connection->delayEstimator_ =
        std::make_unique<FrameDelayEstimator>(proof.senderClock_, BootClock::now());
}

asio::awaitable<void> PeerNetwork::handshakeAsDialler(ConnectionPointer connection)
{
    tcp::socket &socket = connection->socket_;
    const std::string remote = remoteEndpointText(socket);
    const Frame first = co_await readFrame(socket, connection->received_, maxHandshakeFrameBytes);
    const Greeting greeting = requireValid([&] { return parseGreeting(first.payload_); }, remote);
    const std::string nonce = randomBytes(nonceBytes);
    const std::string proof =
        makeFrame(BootClock::now(), makeProof(secret_, greeting, nonce, self_));
    co_await asio::async_write(socket, asio::buffer(proof), use_awaitable);
    const Frame confirmation =
        co_await readFrame(socket, connection->received_, maxHandshakeFrameBytes);
    const std::string expected = makeConfirmation(secret_, nonce, greeting);
    const bool confirmed = equalInConstantTime(expected, confirmation.payload_);
    if (!confirmed || greeting.identity_.name_ != connection->expectedPeerName_) {
        logRejected(Error{ErrorId::PeerRejected, "handshake", connection->expectedPeerName_,
                          "the listener is " + greeting.identity_.name_
                              + (confirmed ? "" : " and does not know the secret")},
                    remote);
        throw boost::system::system_error(asio::error::access_denied);
    }
    connection->peer_ = greeting.identity_;
    connection->delayEstimator_ =
        std::make_unique<FrameDelayEstimator>(confirmation.senderClock_, BootClock::now());
}

void PeerNetwork::registerConnection(const ConnectionPointer &connection)
{
    if (closed_)
        return;
    boost::system::error_code ignored;
    connection->socket_.set_option(tcp::no_delay(true), ignored);
    connection->registered_ = true;
    connection->lastWorkAt_ = BootClock::now();
    connection->lastPingAt_ = connection->lastWorkAt_;
    connections_[connection->peer_.name_].push_back(connection);
    asio::co_spawn(context_, writeLoop(connection), asio::detached);
    const auto pending = pendingMessages_.find(connection->peer_.name_);
    if (pending == pendingMessages_.end())
        return;
    const std::deque<Message> messages = std::move(pending->second);
    pendingMessages_.erase(pending);
    for (const Message &message : messages)
        enqueue(connection, message);
}

asio::awaitable<void> PeerNetwork::readLoop(ConnectionPointer connection)
{
    while (!connection->closed_) {
        Frame frame = co_await readFrame(connection->socket_, connection->received_, maxFrameBytes);
        const nanoseconds delay =
            connection->delayEstimator_->estimateDelay(frame.senderClock_, BootClock::now());
        if (delay > maxFrameDelay) {
            writeLog(LogLevel::Warn,
                     "connection closed peer=" + connection->peer_.name_
                         + " reason=frame_held_up delay_ms="
                         + std::to_string(delay / milliseconds(1)));
            co_return;
        }
        deliver(connection, std::move(frame));
    }
}

void PeerNetwork::deliver(const ConnectionPointer &connection, Frame frame)
{
    ++traffic_.messagesReceived_;
    traffic_.bytesReceived_ += frame.payload_.size();
    connection->unansweredSince_ = Instant{};
    handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, decodeMessage(frame.payload_));
            if (const auto *ping = std::get_if<Ping>(&message))
                onPing(connection, *ping);
            else if (carriesWork(message))
                connection->lastWorkAt_ = BootClock::now();
            handlers_.onMessage_(connection->peer_.name_, std::move(message));
            return {};
        },
        [&](const Error &error) {
            writeLog(LogLevel::Error,
                     "invalid frame peer=" + connection->peer_.name_ + " " + toString(error));
            closeConnection(connection);
        });
}

void PeerNetwork::onPing(const ConnectionPointer &connection, const Ping &ping)
{
    if (ping.reply_)
        return;
    Ping reply;
    reply.sequence_ = ping.sequence_;
    reply.reply_ = true;
    if (handlers_.currentLoad_)
        reply.load_ = handlers_.currentLoad_();
    enqueue(connection, reply);
}

void PeerNetwork::enqueue(const ConnectionPointer &connection, const Message &message)
{
    enqueueEncoded(connection, encodeMessage(message), carriesWork(message));
}

void PeerNetwork::enqueueEncoded(const ConnectionPointer &connection, const std::string &payload,
                                 bool isWork)
{
    const Instant now = BootClock::now();
    std::string frame = makeFrame(now, payload);
    if (isWork)
        connection->lastWorkAt_ = now;
    ++traffic_.messagesSent_;
    traffic_.bytesSent_ += frame.size();
    connection->queuedBytes_ += frame.size();
    connection->queue_.push_back(std::move(frame));
    if (connection->queuedBytes_ > maxQueuedBytes)
        closeConnection(connection);
    else
        connection->writerSignal_.cancel();
}

asio::awaitable<void> PeerNetwork::writeLoop(ConnectionPointer connection)
{
    boost::system::error_code error;
    while (!connection->closed_ && !error) {
        if (connection->queue_.empty()) {
            boost::system::error_code ignored;
            co_await connection->writerSignal_.async_wait(
                asio::redirect_error(use_awaitable, ignored));
            continue;
        }
        std::string batch;
        for (const std::string &frame : connection->queue_)
            batch += frame;
        connection->queue_.clear();
        connection->queuedBytes_ = 0;
        co_await asio::async_write(connection->socket_, asio::buffer(batch),
                                   asio::redirect_error(use_awaitable, error));
    }
    closeConnection(connection);
}

void PeerNetwork::closeConnection(const ConnectionPointer &connection)
{
    if (connection->closed_)
        return;
    connection->closed_ = true;
    boost::system::error_code ignored;
    connection->socket_.close(ignored);
    connection->writerSignal_.cancel();
    if (!connection->registered_)
        return;
    auto &peerConnections = connections_[connection->peer_.name_];
    std::erase(peerConnections, connection);
    if (peerConnections.empty())
        connections_.erase(connection->peer_.name_);
    if (!closed_ && handlers_.onLost_)
        handlers_.onLost_(connection->peer_.name_);
}

void PeerNetwork::pingIfDue(const ConnectionPointer &connection, Instant now)
{
    if (connection->unansweredSince_ != Instant{}
        && now - connection->unansweredSince_ > pingTimeout) {
        writeLog(LogLevel::Warn,
                 "connection closed peer=" + connection->peer_.name_ + " reason=silent");
        closeConnection(connection);
        return;
    }
    const bool active = now - connection->lastWorkAt_ < activePeriod;
    if (now - connection->lastPingAt_ < (active ? activePingInterval : idlePingInterval))
        return;
    connection->lastPingAt_ = now;
    if (connection->unansweredSince_ == Instant{})
        connection->unansweredSince_ = now;
    Ping ping;
    ping.sequence_ = ++connection->pingSequence_;
    enqueue(connection, ping);
}

asio::awaitable<void> PeerNetwork::pingLoop()
{
    while (!closed_) {
        boost::system::error_code error;
        pingTimer_.expires_after(pingCheckInterval);
        co_await pingTimer_.async_wait(asio::redirect_error(use_awaitable, error));
        if (error)
            co_return;
        const Instant now = BootClock::now();
        std::vector<ConnectionPointer> all;
        for (const auto &[peer, peerConnections] : connections_)
            all.insert(all.end(), peerConnections.begin(), peerConnections.end());
        for (const ConnectionPointer &connection : all)
            pingIfDue(connection, now);
    }
}

} // namespace chervilspring
