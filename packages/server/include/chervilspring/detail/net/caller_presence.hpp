/// @file
/// @brief Tells a caller that has left from one that sends its next request.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace chervilspring {

/// @brief Whether the other side has closed the connection; reads nothing.
/// @param socket a socket that was reported as readable
bool hasEnded(boost::asio::ip::tcp::socket &socket);

} // namespace chervilspring
