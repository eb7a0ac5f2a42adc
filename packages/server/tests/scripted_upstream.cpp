#include "scripted_upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace chervilspring {

namespace asio = boost::asio;
using asio::use_awaitable;
using asio::ip::tcp;

ScriptedUpstream::ScriptedUpstream(std::vector<Script> scripts)
    : scripts_(std::move(scripts)),
      acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      port_(acceptor_.local_endpoint().port())
{
    asio::co_spawn(context_, acceptLoop(), asio::detached);
    thread_ = std::thread([this] { context_.run(); });
}

ScriptedUpstream::~ScriptedUpstream()
{
    context_.stop();
    thread_.join();
}

std::vector<std::string> ScriptedUpstream::requestHeads() const
{
    const std::lock_guard lock(mutex_);
    return requestHeads_;
}

std::vector<std::string> ScriptedUpstream::connectionLog() const
{
    const std::lock_guard lock(mutex_);
    return connectionLog_;
}

void ScriptedUpstream::note(const std::string &entry)
{
    const std::lock_guard lock(mutex_);
    connectionLog_.push_back(entry);
}

asio::awaitable<void> ScriptedUpstream::acceptLoop()
{
    while (true) {
        tcp::socket socket = co_await acceptor_.async_accept(use_awaitable);
        asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> ScriptedUpstream::serve(tcp::socket socket)
{
    std::string received;
    boost::system::error_code error;
    std::size_t number = 0;
    while (true) {
        const std::size_t length =
            co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n",
                                            asio::redirect_error(use_awaitable, error));
        if (error) {
            if (number != 0)
                note("closed " + std::to_string(number));
            co_return;
        }
        {
            const std::lock_guard lock(mutex_);
            requestHeads_.push_back(received.substr(0, length));
            number = requestHeads_.size();
        }
        received.erase(0, length);
        note("request " + std::to_string(number));
        if (number > scripts_.size())
            co_return;
        const Script &script = scripts_[number - 1];
        if (!co_await play(socket, number, script))
            co_return;
    }
}

asio::awaitable<bool> ScriptedUpstream::play(tcp::socket &socket, std::size_t number,
                                             const Script &script)
{
    boost::system::error_code error;
    for (const ScriptStep &step : script.steps_) {
        // A peer that closes the connection ends the pause.
        asio::steady_timer pause(context_, step.pause_);
        bool closed = false;
        socket.async_wait(tcp::socket::wait_read, [&](boost::system::error_code waitError) {
            closed = !waitError;
            pause.cancel();
        });
        co_await pause.async_wait(asio::redirect_error(use_awaitable, error));
        socket.cancel(error);
        co_await asio::post(context_, use_awaitable);
        if (closed) {
            note("closed " + std::to_string(number));
            co_return false;
        }
        co_await asio::async_write(socket, asio::buffer(step.bytes_),
                                   asio::redirect_error(use_awaitable, error));
        if (error)
            co_return false;
    }
    if (script.end_ == ScriptEnd::Reset)
        socket.set_option(asio::socket_base::linger(true, 0), error);
    if (script.end_ != ScriptEnd::KeepOpen)
        socket.close(error);
    co_return script.end_ == ScriptEnd::KeepOpen;
}

} // namespace chervilspring
