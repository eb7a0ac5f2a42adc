/// @file
/// @brief Connections to other processes of the fleet.
///
/// Not thread-safe. A connection is opened when there is a message to send. Both sides prove that
/// they know the shared secret. Application-level pings are sent at a short interval while the
/// connection carries work and at a long one while it is idle. A connection on which nothing is
/// received after a ping is closed; the next message opens a new one. A frame that was delayed too
/// long is never delivered: its connection is closed instead.
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

/// @brief Address on which a process listens.
struct PeerAddress
{
    std::string address_; ///< IP address
    std::uint16_t port_ = 0;
    bool operator==(const PeerAddress &) const = default;
};

/// @brief Callbacks of PeerNetwork, invoked on the thread that runs its context.
struct PeerHandlers
{
    /// Called for each received message, pings included.
    std::function<void(const std::string &peer, Message)> onMessage_;
    /// Called when a connection was lost or could not be opened; may be empty.
    std::function<void(const std::string &peer)> onLost_;
    std::function<Load()> currentLoad_; ///< load sent in ping replies; may be empty
};

/// @brief Traffic counters of a PeerNetwork since its construction.
struct PeerTraffic
{
    std::uint64_t messagesSent_ = 0;
    std::uint64_t bytesSent_ = 0; ///< bytes of frames with their headers
    std::uint64_t messagesReceived_ = 0;
    std::uint64_t bytesReceived_ = 0; ///< bytes of payloads without frame headers
};

/// @brief The connections of one thread to its peers.
class PeerNetwork
{
public:
    /// @param context run by the owning thread only
    /// @param self identity that the handshake presents to peers
    /// @param secret shared secret of the fleet
    /// @param handlers callbacks
    PeerNetwork(boost::asio::io_context &context, PeerIdentity self, std::string secret,
                PeerHandlers handlers);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /// @brief Starts accepting connections.
    /// @param address IP address
    /// @param port port, or 0 for any free port
    /// @return the port that was bound
    /// @throws boost::system::system_error if the port cannot be bound
    std::uint16_t listen(const std::string &address, std::uint16_t port);

    /// @brief Sets the address of a peer. A change takes effect with the next connection.
    void setAddress(const std::string &peer, const PeerAddress &address);

    /// @brief Allows dialling peers without a known address whose name is an IPv4 address.
    /// @param port port on which they listen
    void setDefaultPort(std::uint16_t port) { defaultPort_ = port; }

    /// @brief Sends a message, opening a connection if necessary.
    ///
    /// Soon after a failed attempt to connect, the message waits for the next one. It is dropped if
    /// there is neither a connection nor an address, if no connection can be opened, which
    /// PeerHandlers::onLost_ reports, or if too many messages already wait for one.
    void send(const std::string &peer, const Message &message);

    /// @brief Sends the same message to several peers, each as send() does. It is encoded once.
    void sendToAll(const std::vector<std::string> &peers, const Message &message);

    /// @brief Whether a connection to a peer is open.
    bool connected(const std::string &peer) const;

    /// @brief Returns the traffic counters.
    const PeerTraffic &traffic() const { return traffic_; }

    /// @brief Stops listening and closes all connections. No callback is invoked for them.
    void close();

private:
    struct PeerConnection;
    using ConnectionPointer = std::shared_ptr<PeerConnection>;

    /// The latest attempt to connect to a peer, in progress or failed.
    struct Dial
    {
        Instant startAt_{}; ///< when it starts or has started
        std::uint64_t number_ = 0; ///< identifies it among all attempts
        bool inProgress_ = false;
    };

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(ConnectionPointer connection);
    boost::asio::awaitable<void> dial(std::string peer, PeerAddress address, Dial dial);
    void endDial(const std::string &peer, std::uint64_t number, bool connected);
    boost::asio::awaitable<void> handshakeAsListener(ConnectionPointer connection);
    boost::asio::awaitable<void> handshakeAsDialler(ConnectionPointer connection);
    boost::asio::awaitable<void> readLoop(ConnectionPointer connection);
    boost::asio::awaitable<void> writeLoop(ConnectionPointer connection);
    boost::asio::awaitable<void> pingLoop();
    void deliver(const ConnectionPointer &connection, Frame frame);
    void onPing(const ConnectionPointer &connection, const Ping &ping);
    void enqueue(const ConnectionPointer &connection, const Message &message);
    void enqueueEncoded(const ConnectionPointer &connection, const std::string &payload,
                        bool isWork);
    void registerConnection(const ConnectionPointer &connection);
    void closeConnection(const ConnectionPointer &connection);
    void pingIfDue(const ConnectionPointer &connection, Instant now);

    boost::asio::io_context &context_;
    PeerIdentity self_;
    std::string secret_;
    PeerHandlers handlers_;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    boost::asio::steady_timer pingTimer_;
    std::optional<PeerAddress> addressOf(const std::string &peer) const;

    std::map<std::string, PeerAddress> addresses_; ///< known addresses, by peer
    std::uint16_t defaultPort_ = 0; ///< 0: only peers with a known address are dialled
    /// Open connections by peer; the newest is last.
    std::map<std::string, std::vector<ConnectionPointer>> connections_;
    /// Messages queued while dialling, by peer.
    std::map<std::string, std::deque<Message>> pendingMessages_;
    std::map<std::string, Dial> dials_; ///< by peer; none while its latest dial succeeded
    std::uint64_t lastDialNumber_ = 0;
    PeerTraffic traffic_;
    bool closed_ = false; ///< close() was called
};

} // namespace chervilspring
