/// @file
/// @brief An upstream whose every byte is chosen by the test.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chervilspring {

/// @brief Listens on a free port of the loopback interface and answers with the bytes of a script.
class ScriptedUpstream
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    /// Returns the bytes to write after a request; the number counts from 1 over all connections.
    /// If it returns nothing, the connection is closed.
    using Script = std::function<std::string(int number, const Request &request)>;

    /// @param context run by the test
    /// @param script chooses the bytes that are written
    ScriptedUpstream(boost::asio::io_context &context, Script script)
        : context_(context), acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          script_(std::move(script))
    {
        boost::asio::co_spawn(context_, acceptLoop(), boost::asio::detached);
    }

    std::uint16_t port() const { return port_; }
    int connections() const { return static_cast<int>(sockets_.size()); }
    int requests() const { return requests_; }

    /// @brief Closes the listening socket; open connections remain.
    void stopListening() { acceptor_.close(); }

    /// @brief Writes bytes on the connection that was accepted last, without a request.
    void writeUnasked(const std::string &bytes)
    {
        boost::asio::write(*sockets_.back(), boost::asio::buffer(bytes));
    }

    /// @brief Writes bytes ahead of the next answer on the connection that was accepted last.
    void writeBeforeNextAnswer(const std::string &bytes)
    {
        delayedBytes_ = bytes;
        delayedSocket_ = sockets_.back();
    }

private:
    using SocketPointer = std::shared_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::awaitable<void> acceptLoop()
    {
        while (true) {
            boost::system::error_code error;
            auto socket =
                std::make_shared<boost::asio::ip::tcp::socket>(co_await acceptor_.async_accept(
                    boost::asio::redirect_error(boost::asio::use_awaitable, error)));
            if (error)
                co_return;
            sockets_.push_back(socket);
            boost::asio::co_spawn(context_, serve(socket), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(SocketPointer socket)
    {
        boost::beast::flat_buffer buffer;
        while (true) {
            Request request;
            boost::system::error_code error;
            co_await boost::beast::http::async_read(
                *socket, buffer, request,
                boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error)
                co_return;
            std::string bytes = script_(++requests_, request);
            if (socket == delayedSocket_)
                bytes.insert(0, std::exchange(delayedBytes_, {}));
            if (bytes.empty()) {
                socket->close();
                co_return;
            }
            co_await boost::asio::async_write(
                *socket, boost::asio::buffer(bytes),
                boost::asio::redirect_error(boost::asio::use_awaitable, error));
        }
    }

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = acceptor_.local_endpoint().port();
    Script script_;
    std::vector<SocketPointer> sockets_; ///< all accepted connections, in order
    int requests_ = 0;
    std::string delayedBytes_; ///< written on delayedSocket_ ahead of the next answer
    SocketPointer delayedSocket_;
};

} // namespace chervilspring
