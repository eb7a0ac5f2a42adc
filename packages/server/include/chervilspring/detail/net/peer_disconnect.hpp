/// @file
/// @brief Distinguishes a caller that has disconnected from one that sends its next request.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace chervilspring {

/// @brief Whether the peer has closed the connection. Peeks only; consumes no bytes.
/// @param socket a socket that was reported as readable; it is made non-blocking
/// @return true also if the connection has failed; false if bytes can be read or none
/// have arrived yet
bool isClosedByPeer(boost::asio::ip::tcp::socket &socket);

} // namespace chervilspring
