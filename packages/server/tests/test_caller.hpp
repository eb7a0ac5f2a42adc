/// @file
/// @brief A caller that records the bytes it receives.
#pragma once

#include "chervilspring/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace chervilspring {

/// @brief What a caller has received on its connection.
struct Received
{
    std::string bytes_;
    std::size_t responseBytes_ = 0; ///< bytes_ that belong to the response
    unsigned status_ = 0; ///< 0: no head was received
    std::string body_;
    bool complete_ = false; ///< the end of the response was received
    bool closed_ = false; ///< the server closed the connection
};

/// @brief Size of the socket buffers that a response passes through.
enum class CallerBuffers {
    Usual,
    Small, ///< a write of 200 kB blocks until the caller reads
};

/// @brief A connection to a server on loopback.
class TestCaller
{
public:
    /// @param port port of the server
    /// @param buffers size of the buffers between server and caller
    explicit TestCaller(std::uint16_t port, CallerBuffers buffers = CallerBuffers::Usual);

    void send(const std::string &bytes);

    /// @brief Reads until the response is complete and for a short time on, until the connection
    /// is closed, or until the timeout.
    Received receive(milliseconds timeout = milliseconds(6000));

    /// @brief Closes the connection with a reset.
    void reset();

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
};

/// @brief Returns a port on loopback that is not in use.
std::uint16_t findFreePort();

} // namespace chervilspring
