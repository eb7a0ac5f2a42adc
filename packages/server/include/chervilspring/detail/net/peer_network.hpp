/// @file
/// @brief Connections to other processes of the fleet.
///
/// One thread owns a network. A connection is opened when there is something to send, proves the
/// shared secret both ways, and is pinged with application data: often while it carries work,
/// seldom while idle. One that doesn't answer is closed, and the next message opens a new one.
/// A frame that was held up on its way is never delivered: its connection is closed instead.
#pragma once

#include "chervilspring/codec.hpp"
#include "chervilspring/detail/net/frame.hpp"
#include "chervilspring/handshake.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace chervilspring {

/// @brief Where a process listens.
struct PeerAddress
{
    std::string address_;
    std::uint16_t port_ = 0;
    bool operator==(const PeerAddress &) const = default;
};

/// @brief What a network tells its owner, on the owner's thread.
struct PeerHandlers
{
    std::function<void(const std::string &peer, Message)> message_;
    std::function<void(const std::string &peer)> lost_;
    std::function<Load()> load_; ///< for ping replies; may be empty
};

/// @brief Traffic of a network since its start.
struct PeerTraffic
{
    std::uint64_t messagesSent_ = 0;
    std::uint64_t bytesSent_ = 0;
    std::uint64_t messagesReceived_ = 0;
    std::uint64_t bytesReceived_ = 0;
};

/// @brief The connections of one thread.
class PeerNetwork
{
public:
    /// @param context run by the owning thread only
    /// @param self identity shown to others
    /// @param secret shared secret of the fleet
    /// @param handlers callbacks
    PeerNetwork(boost::asio::io_context &context, PeerIdentity self, std::string secret,
                PeerHandlers handlers);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /// @brief Accepts connections.
    /// @param address IP number
    /// @param port 0 picks a free one
    /// @return the port; throws boost::system::system_error if it can't be had
    std::uint16_t listen(const std::string &address, std::uint16_t port);

    /// @brief Where to dial a peer. A changed address takes effect with the next connection.
    void setAddress(const std::string &peer, const PeerAddress &address);

    /// @brief Lets peers without an address be dialled if their name is an IP number.
    /// @param port where they listen
    void setDefaultPort(std::uint16_t port) { defaultPort_ = port; }

    /// @brief Sends a message, opening a connection if needed.
    ///
    /// Without an address and a connection the message is dropped: every protocol above asks again.
    void send(const std::string &peer, const Message &message);

    /// @brief Whether a connection is open.
    bool connected(const std::string &peer) const;

    /// @brief Counters.
    const PeerTraffic &traffic() const { return traffic_; }

    /// @brief Closes everything.
    void close();

private:
    struct Link;
    using LinkPointer = std::shared_ptr<Link>;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(LinkPointer link);
    boost::asio::awaitable<void> dial(std::string peer, PeerAddress address);
    boost::asio::awaitable<void> shakeAsListener(LinkPointer link);
    boost::asio::awaitable<void> shakeAsDialler(LinkPointer link);
    boost::asio::awaitable<void> readLoop(LinkPointer link);
    boost::asio::awaitable<void> writeLoop(LinkPointer link);
    boost::asio::awaitable<void> pingLoop();
    void deliver(const LinkPointer &link, Frame frame);
    void onPing(const LinkPointer &link, const Ping &ping);
    void enqueue(const LinkPointer &link, const Message &message);
    void attach(const LinkPointer &link);
    void closeLink(const LinkPointer &link);
    void pingLink(const LinkPointer &link, Instant now);

    boost::asio::io_context &context_;
    PeerIdentity self_;
    std::string secret_;
    PeerHandlers handlers_;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    boost::asio::steady_timer pingTimer_;
    std::optional<PeerAddress> addressOf(const std::string &peer) const;

    std::map<std::string, PeerAddress> addresses_;
    std::uint16_t defaultPort_ = 0; ///< 0: only known addresses are dialled
    std::map<std::string, std::vector<LinkPointer>> links_; ///< newest last
    std::map<std::string, std::deque<Message>> waiting_; ///< while dialling
    std::map<std::string, Instant> dialledAt_;
    PeerTraffic traffic_;
    bool closed_ = false;
};

} // namespace chervilspring
