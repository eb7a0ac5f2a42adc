/// @file
/// @brief Looks at what a peer has sent without reading it.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace chervilspring {

/// @brief Whether the peer has closed the connection. Peeks only; consumes no bytes.
/// @param socket a socket that was reported as readable; it is made non-blocking
/// @return true also if the connection has failed; false if bytes can be read or none
/// have arrived yet
bool isClosedByPeer(boost::asio::ip::tcp::socket &socket);

/// @brief Whether the next read would not have to wait: bytes have arrived, or the peer has closed
/// the connection, or it has failed. Peeks only.
/// @param socket the socket; it is made non-blocking
bool hasUnreadInput(boost::asio::ip::tcp::socket &socket);

} // namespace chervilspring
