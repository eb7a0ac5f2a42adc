/// @file
/// @brief Opens TCP connections to addresses that other processes have announced.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <string>

namespace chervilspring {

/// @brief Connects a stream, within the time that is set on it.
/// @param stream the stream
/// @param address IP address; any other text is an error
/// @param port TCP port
/// @param error receives the error
boost::asio::awaitable<void> connectTo(boost::beast::tcp_stream &stream, std::string address,
                                       std::uint16_t port, boost::system::error_code &error);

} // namespace chervilspring
