/// @file
/// @brief Open connections to upstreams that wait for the next request. One thread owns them.
#pragma once

#include "chervilspring/detail/net/read_limits.hpp"
#include "chervilspring/time.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilspring {

/// @brief A connection and what was read from it beyond the last answer.
struct UpstreamConnection
{
    explicit UpstreamConnection(boost::asio::io_context &context)
        : stream_(context), buffer_(maxUnparsedBytes)
    { }

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    Instant usableUntil_{};
};

using UpstreamConnectionPointer = std::unique_ptr<UpstreamConnection>;

/// @brief Idle connections by the server that they lead to.
class IdleConnections
{
public:
    /// @brief Takes the connection that was used last.
    /// @return nullptr if there is none that the server still keeps open
    UpstreamConnectionPointer take(const std::string &server);

    /// @brief Keeps a connection, unless it can't be trusted.
    ///
    /// Bytes after an answer belong to no request: a connection that has some is closed.
    /// @param answer head of the last answer; its Keep-Alive bounds the time
    /// @param places most idle connections to this server
    void keep(const std::string &server, UpstreamConnectionPointer connection,
              const boost::beast::http::response_header<> &answer, std::size_t places);

    /// @brief Closes all idle connections to a server.
    ///
    /// One that has gone silent speaks for the others: whatever forgot it has forgotten them too.
    void drop(const std::string &server) { idle_.erase(server); }

private:
    std::map<std::string, std::vector<UpstreamConnectionPointer>> idle_;
};

} // namespace chervilspring
