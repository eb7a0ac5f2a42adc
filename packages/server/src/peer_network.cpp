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

constexpr auto handshakeLimit = milliseconds(1000);
constexpr auto dialBackoff = milliseconds(100);
constexpr auto pingTick = milliseconds(100);
constexpr nanoseconds activePing = milliseconds(400); // while the connection carries work
constexpr nanoseconds idlePing = seconds(5);
constexpr nanoseconds activeFor = seconds(2); // after the last message
constexpr nanoseconds pingPatience = milliseconds(1200);
constexpr nanoseconds maxFrameDelay = milliseconds(1500);
constexpr std::size_t maxWaiting = 1024; // messages to one peer while dialling
constexpr std::size_t maxQueuedBytes = 128u << 20;
constexpr std::size_t handshakeBytes = 256;

// Heartbeats repeat by themselves; they don't need a connection that is pinged often.
bool isWork(const Message &message)
{
    return !std::holds_alternative<Ping>(message) && !std::holds_alternative<Heartbeat>(message)
        && !std::holds_alternative<HeartbeatReply>(message);
}

void logRejected(const Error &error, const std::string &remote)
{
    writeLog(LogLevel::Warn, "connection refused " + toString(error) + " remote=" + remote);
}

// Runs a step of the handshake that returns leaf::result; a failure ends the connection.
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

std::string remoteText(const tcp::socket &socket)
{
    boost::system::error_code ignored;
    const auto endpoint = socket.remote_endpoint(ignored);
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

struct PeerNetwork::Link
{
    explicit Link(tcp::socket socket, asio::io_context &context)
        : socket_(std::move(socket)), wakeWriter_(context)
    {
        wakeWriter_.expires_at(asio::steady_timer::time_point::max());
    }

    tcp::socket socket_;
    asio::steady_timer wakeWriter_;
    PeerIdentity peer_;
    std::string expectedName_; ///< for dialled links
    std::deque<std::string> queue_;
    std::size_t queuedBytes_ = 0;
    std::unique_ptr<DelayEstimate> delay_;
    Instant usedAt_{}; ///< last message other than a ping
    Instant pingedAt_{};
    Instant unansweredSince_{}; ///< oldest ping without any frame after it; zero: none
    std::uint64_t pingSequence_ = 0;
    bool attached_ = false;
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
    dialledAt_.erase(peer);
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
    const auto found = links_.find(peer);
    return found != links_.end() && !found->second.empty();
}

void PeerNetwork::send(const std::string &peer, const Message &message)
{
    const auto found = links_.find(peer);
    if (found != links_.end() && !found->second.empty()) {
        enqueue(found->second.back(), message);
        return;
    }
    const auto address = addressOf(peer);
    if (!address || closed_)
        return;
    auto &waiting = waiting_[peer];
    if (waiting.size() < maxWaiting)
        waiting.push_back(message);
    const Instant now = BootClock::now();
    Instant &dialled = dialledAt_[peer];
    const bool dialling = dialled != Instant{} && now - dialled < handshakeLimit + dialBackoff;
    if (dialling)
        return;
    dialled = now;
    asio::co_spawn(context_, dial(peer, *address), asio::detached);
}

void PeerNetwork::close()
{
    closed_ = true;
    if (acceptor_) {
        boost::system::error_code ignored;
        acceptor_->close(ignored);
    }
    pingTimer_.cancel();
    const auto links = std::exchange(links_, {});
    for (const auto &[peer, list] : links) {
        for (const LinkPointer &link : list) {
            link->attached_ = false;
            closeLink(link);
        }
    }
}

asio::awaitable<void> PeerNetwork::acceptLoop()
{
    while (!closed_) {
        boost::system::error_code error;
        tcp::socket socket =
            co_await acceptor_->async_accept(asio::redirect_error(use_awaitable, error));
        if (error)
            co_return;
        asio::co_spawn(context_, serve(std::make_shared<Link>(std::move(socket), context_)),
                       asio::detached);
    }
}

asio::awaitable<void> PeerNetwork::serve(LinkPointer link)
{
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer limit(context_, handshakeLimit);
    try {
        const auto done = co_await (shakeAsListener(link) || limit.async_wait(use_awaitable));
        if (done.index() == 0) {
            attach(link);
            co_await readLoop(link);
        }
    } catch (const std::exception &) {
        // The connection ended; closeLink tells whoever used it.
    }
    closeLink(link);
}

asio::awaitable<void> PeerNetwork::dial(std::string peer, PeerAddress address)
{
    using namespace asio::experimental::awaitable_operators;
    auto link = std::make_shared<Link>(tcp::socket(context_), context_);
    link->expectedName_ = peer;
    asio::steady_timer limit(context_, handshakeLimit);
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(address.address_), address.port_);
        const auto connected = co_await (link->socket_.async_connect(endpoint, use_awaitable)
                                         || limit.async_wait(use_awaitable));
        if (connected.index() == 0) {
            const auto done = co_await (shakeAsDialler(link) || limit.async_wait(use_awaitable));
            if (done.index() == 0) {
                dialledAt_.erase(peer);
                attach(link);
                co_await readLoop(link);
            }
        }
    } catch (const std::exception &) {
        // The connection could not be opened, or it ended.
    }
    const bool wasAttached = link->attached_;
    closeLink(link);
    if (!wasAttached && !closed_) {
        waiting_.erase(peer);
        if (handlers_.lost_)
            handlers_.lost_(peer);
    }
}

asio::awaitable<void> PeerNetwork::shakeAsListener(LinkPointer link)
{
    tcp::socket &socket = link->socket_;
    const std::string remote = remoteText(socket);
    Greeting sent{randomBytes(nonceBytes), self_};
    const std::string greeting = makeFrame(BootClock::now(), makeGreeting(sent.nonce_, self_));
    co_await asio::async_write(socket, asio::buffer(greeting), use_awaitable);
    const Frame proof = co_await readFrame(socket, handshakeBytes);
    const Greeting dialler =
        requireValid([&] { return checkProof(secret_, sent, proof.payload_); }, remote);
    const std::string confirmation =
        makeFrame(BootClock::now(), makeConfirmation(secret_, dialler.nonce_, sent));
    co_await asio::async_write(socket, asio::buffer(confirmation), use_awaitable);
    link->peer_ = dialler.identity_;
    link->delay_ = std::make_unique<DelayEstimate>(proof.senderClock_, BootClock::now());
}

asio::awaitable<void> PeerNetwork::shakeAsDialler(LinkPointer link)
{
    tcp::socket &socket = link->socket_;
    const std::string remote = remoteText(socket);
    const Frame first = co_await readFrame(socket, handshakeBytes);
    const Greeting greeting = requireValid([&] { return parseGreeting(first.payload_); }, remote);
    const std::string nonce = randomBytes(nonceBytes);
    const std::string proof =
        makeFrame(BootClock::now(), makeProof(secret_, greeting, nonce, self_));
    co_await asio::async_write(socket, asio::buffer(proof), use_awaitable);
    const Frame confirmation = co_await readFrame(socket, handshakeBytes);
    const std::string expected = makeConfirmation(secret_, nonce, greeting);
    const bool genuine = equalInConstantTime(expected, confirmation.payload_);
    if (!genuine || greeting.identity_.name_ != link->expectedName_) {
        logRejected(Error{ErrorId::PeerRejected, "handshake", link->expectedName_,
                          "the listener is " + greeting.identity_.name_
                              + (genuine ? "" : " and does not know the secret")},
                    remote);
        throw boost::system::system_error(asio::error::access_denied);
    }
    link->peer_ = greeting.identity_;
    link->delay_ = std::make_unique<DelayEstimate>(confirmation.senderClock_, BootClock::now());
}

void PeerNetwork::attach(const LinkPointer &link)
{
    if (closed_)
        return;
    boost::system::error_code ignored;
    link->socket_.set_option(tcp::no_delay(true), ignored);
    link->attached_ = true;
    link->usedAt_ = BootClock::now();
    link->pingedAt_ = link->usedAt_;
    links_[link->peer_.name_].push_back(link);
    asio::co_spawn(context_, writeLoop(link), asio::detached);
    const auto waiting = waiting_.find(link->peer_.name_);
    if (waiting == waiting_.end())
        return;
    const std::deque<Message> messages = std::move(waiting->second);
    waiting_.erase(waiting);
    for (const Message &message : messages)
        enqueue(link, message);
}

asio::awaitable<void> PeerNetwork::readLoop(LinkPointer link)
{
    while (!link->closed_) {
        Frame frame = co_await readFrame(link->socket_, maxFrameBytes);
        const nanoseconds delay = link->delay_->delayOf(frame.senderClock_, BootClock::now());
        if (delay > maxFrameDelay) {
            writeLog(LogLevel::Warn,
                     "connection closed peer=" + link->peer_.name_
                         + " reason=frame_held_up delay_ms="
                         + std::to_string(delay / milliseconds(1)));
            co_return;
        }
        deliver(link, std::move(frame));
    }
}

void PeerNetwork::deliver(const LinkPointer &link, Frame frame)
{
    ++traffic_.messagesReceived_;
    traffic_.bytesReceived_ += frame.payload_.size();
    link->unansweredSince_ = Instant{};
    handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, decodeMessage(frame.payload_));
            if (const auto *ping = std::get_if<Ping>(&message))
                onPing(link, *ping);
            else if (isWork(message))
                link->usedAt_ = BootClock::now();
            handlers_.message_(link->peer_.name_, std::move(message));
            return {};
        },
        [&](const Error &error) {
            writeLog(LogLevel::Error,
                     "frame refused peer=" + link->peer_.name_ + " " + toString(error));
            closeLink(link);
        });
}

void PeerNetwork::onPing(const LinkPointer &link, const Ping &ping)
{
    if (ping.reply_)
        return;
    Ping reply;
    reply.sequence_ = ping.sequence_;
    reply.reply_ = true;
    if (handlers_.load_)
        reply.load_ = handlers_.load_();
    enqueue(link, reply);
}

void PeerNetwork::enqueue(const LinkPointer &link, const Message &message)
{
    const Instant now = BootClock::now();
    std::string frame = makeFrame(now, encodeMessage(message));
    if (isWork(message))
        link->usedAt_ = now;
    ++traffic_.messagesSent_;
    traffic_.bytesSent_ += frame.size();
    link->queuedBytes_ += frame.size();
    link->queue_.push_back(std::move(frame));
    if (link->queuedBytes_ > maxQueuedBytes)
        closeLink(link);
    else
        link->wakeWriter_.cancel();
}

asio::awaitable<void> PeerNetwork::writeLoop(LinkPointer link)
{
    boost::system::error_code error;
    while (!link->closed_ && !error) {
        if (link->queue_.empty()) {
            boost::system::error_code woken;
            co_await link->wakeWriter_.async_wait(asio::redirect_error(use_awaitable, woken));
            continue;
        }
        std::string batch;
        for (const std::string &frame : link->queue_)
            batch += frame;
        link->queue_.clear();
        link->queuedBytes_ = 0;
        co_await asio::async_write(link->socket_, asio::buffer(batch),
                                   asio::redirect_error(use_awaitable, error));
    }
    closeLink(link);
}

void PeerNetwork::closeLink(const LinkPointer &link)
{
    if (link->closed_)
        return;
    link->closed_ = true;
    boost::system::error_code ignored;
    link->socket_.close(ignored);
    link->wakeWriter_.cancel();
    if (!link->attached_)
        return;
    auto &list = links_[link->peer_.name_];
    std::erase(list, link);
    if (list.empty())
        links_.erase(link->peer_.name_);
    if (!closed_ && handlers_.lost_)
        handlers_.lost_(link->peer_.name_);
}

void PeerNetwork::pingLink(const LinkPointer &link, Instant now)
{
    if (link->unansweredSince_ != Instant{} && now - link->unansweredSince_ > pingPatience) {
        writeLog(LogLevel::Warn, "connection closed peer=" + link->peer_.name_ + " reason=silent");
        closeLink(link);
        return;
    }
    const bool active = now - link->usedAt_ < activeFor;
    if (now - link->pingedAt_ < (active ? activePing : idlePing))
        return;
    link->pingedAt_ = now;
    if (link->unansweredSince_ == Instant{})
        link->unansweredSince_ = now;
    Ping ping;
    ping.sequence_ = ++link->pingSequence_;
    enqueue(link, ping);
}

asio::awaitable<void> PeerNetwork::pingLoop()
{
    while (!closed_) {
        boost::system::error_code error;
        pingTimer_.expires_after(pingTick);
        co_await pingTimer_.async_wait(asio::redirect_error(use_awaitable, error));
        if (error)
            co_return;
        const Instant now = BootClock::now();
        std::vector<LinkPointer> all;
        for (const auto &[peer, list] : links_)
            all.insert(all.end(), list.begin(), list.end());
        for (const LinkPointer &link : all)
            pingLink(link, now);
    }
}

} // namespace chervilspring
