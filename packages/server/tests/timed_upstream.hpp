/// @file
/// @brief An upstream that answers each request with given bytes and pauses.
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
struct TimedBytes
{
    std::string bytes_;
    milliseconds pause_{0};
};

/// @brief What the upstream does with the connection after the last step.
enum class AnswerEnd { KeepOpen, Close, Reset };

/// @brief Answer to one request.
struct TimedAnswer
{
    std::vector<TimedBytes> steps_;
    AnswerEnd end_ = AnswerEnd::KeepOpen;
};

/// @brief Listens on loopback and sends the n-th answer to the n-th request. Closes the connection
/// of a request without an answer.
class TimedUpstream
{
public:
    explicit TimedUpstream(std::vector<TimedAnswer> answers);
    ~TimedUpstream();
    TimedUpstream(const TimedUpstream &) = delete;
    TimedUpstream &operator=(const TimedUpstream &) = delete;

    std::uint16_t port() const { return port_; }

    /// @brief Returns the heads of all requests, in the order of their arrival.
    std::vector<std::string> requestHeads() const;

    /// @brief Returns "request N" and "closed N" for the arrivals of requests and the closing of
    /// their connections by the peer, in order.
    std::vector<std::string> connectionLog() const;

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    /// Sends an answer. Returns whether the connection is still open.
    boost::asio::awaitable<bool> send(boost::asio::ip::tcp::socket &socket, std::size_t number,
                                      const TimedAnswer &answer);
    void note(const std::string &entry);

    const std::vector<TimedAnswer> answers_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    mutable std::mutex mutex_; ///< protects the members below
    std::vector<std::string> requestHeads_;
    std::vector<std::string> connectionLog_;
    std::thread thread_;
};

} // namespace chervilspring
