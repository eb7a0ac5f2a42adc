/// @file
/// @brief Distinguishes a caller that has disconnected from one that sends its next request.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace chervilspring {

/// @brief Whether the peer has closed the connection. Peeks only; consumes no bytes.
/// @param socket a socket that was reported as readable
bool isClosedByPeer(boost::asio::ip::tcp::socket &socket);

} // namespace chervilspring
