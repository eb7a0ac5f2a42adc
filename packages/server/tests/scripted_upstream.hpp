/// @file
/// @brief An upstream that answers each request with a script of bytes and pauses.
#pragma once

#include "chervilspring/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace chervilspring {

/// @brief Bytes of an answer and the time that passes before they are sent.
struct ScriptStep
{
    std::string bytes_;
    milliseconds pause_{0};
};

/// @brief What the upstream does with the connection after the last step.
enum class ScriptEnd { KeepOpen, Close, Reset };

/// @brief Answer to one request.
struct Script
{
    std::vector<ScriptStep> steps_;
    ScriptEnd end_ = ScriptEnd::KeepOpen;
};

/// @brief Listens on loopback and plays the n-th script for the n-th request. Closes the connection
/// of a request without a script.
class ScriptedUpstream
{
public:
    explicit ScriptedUpstream(std::vector<Script> scripts);
    ~ScriptedUpstream();
    ScriptedUpstream(const ScriptedUpstream &) = delete;
    ScriptedUpstream &operator=(const ScriptedUpstream &) = delete;

    std::uint16_t port() const { return port_; }

    /// @brief Returns the heads of all requests, in the order of their arrival.
    std::vector<std::string> requestHeads() const;

    /// @brief Returns "request N" and "closed N" for the arrivals of requests and the closing of
    /// their connections by the peer, in order.
    std::vector<std::string> connectionLog() const;

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    /// Plays a script. Returns whether the connection is still open.
    boost::asio::awaitable<bool> play(boost::asio::ip::tcp::socket &socket, std::size_t number,
                                      const Script &script);
    void note(const std::string &entry);

    const std::vector<Script> scripts_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    mutable std::mutex mutex_; ///< protects the members below
    std::vector<std::string> requestHeads_;
    std::vector<std::string> connectionLog_;
    std::thread thread_;
};

} // namespace chervilspring
