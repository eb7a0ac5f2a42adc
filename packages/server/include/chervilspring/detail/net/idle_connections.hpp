/// @file
/// @brief Pool of idle connections to upstreams. Not thread-safe.
#pragma once

#include "chervilspring/detail/net/read_limits.hpp"
#include "chervilspring/time.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilspring {

/// @brief A connection and its read buffer, which may hold bytes beyond the last answer.
struct UpstreamConnection
{
    explicit UpstreamConnection(boost::asio::io_context &context)
        : stream_(context), buffer_(maxUnparsedBytes)
    { }

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    Instant usableUntil_{}; ///< the server may close the idle connection after this time
    std::deque<std::uint64_t>
        answerDigests_; ///< of the last bodies, see HttpCall::distinctAnswers_
};

using UpstreamConnectionPointer = std::shared_ptr<UpstreamConnection>;

/// @brief Idle connections, grouped by a key that the owner chooses for each server.
class IdleConnections
{
public:
    /// @brief Takes the most recently used connection to a server out of the pool.
    ///
    /// Connections on which something can be read, or which the server has closed, are closed.
    /// @param server key of the server
    /// @return nullptr if there is none that the server should still keep open
    UpstreamConnectionPointer take(const std::string &server);

    /// @brief Adds a connection to the pool, or closes it if it cannot be reused safely.
    ///
    /// A connection with unread bytes after the last answer is closed: they belong to no request.
    /// @param server key of the server
    /// @param connection connection to keep
    /// @param answer head of the last answer; its Keep-Alive header bounds the idle time
    /// @param maxIdle maximum number of idle connections to this server
    void keep(const std::string &server, UpstreamConnectionPointer connection,
              const boost::beast::http::response_header<> &answer, std::size_t maxIdle);

    /// @brief Closes all idle connections to a server.
    ///
    /// Used when one of them got no answer: whatever dropped its state without a reset, such as a
    /// proxy or NAT, has probably dropped the others too.
    void closeAll(const std::string &server) { idle_.erase(server); }

private:
    /// Idle connections by key of the server; the most recently used one is last.
    std::map<std::string, std::vector<UpstreamConnectionPointer>> idle_;
};

} // namespace chervilspring
