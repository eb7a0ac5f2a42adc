#include "timed_upstream.hpp"

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

TimedUpstream::TimedUpstream(std::vector<TimedAnswer> answers)
    : answers_(std::move(answers)),
      acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      port_(acceptor_.local_endpoint().port())
{
    asio::co_spawn(context_, acceptLoop(), asio::detached);
    thread_ = std::thread([this] { context_.run(); });
}

TimedUpstream::~TimedUpstream()
{
    context_.stop();
    thread_.join();
}

std::vector<std::string> TimedUpstream::requestHeads() const
{
    const std::lock_guard lock(mutex_);
    return requestHeads_;
}

std::vector<std::string> TimedUpstream::connectionLog() const
{
    const std::lock_guard lock(mutex_);
    return connectionLog_;
}

void TimedUpstream::note(const std::string &entry)
{
    const std::lock_guard lock(mutex_);
    connectionLog_.push_back(entry);
}

asio::awaitable<void> TimedUpstream::acceptLoop()
{
    while (true) {
        tcp::socket socket = co_await acceptor_.async_accept(use_awaitable);
        asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> TimedUpstream::serve(tcp::socket socket)
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
        if (number > answers_.size())
            co_return;
        const TimedAnswer &answer = answers_[number - 1];
        if (!co_await send(socket, number, answer))
            co_return;
    }
}

asio::awaitable<bool> TimedUpstream::send(tcp::socket &socket, std::size_t number,
                                          const TimedAnswer &answer)
{
    boost::system::error_code error;
    for (const TimedBytes &step : answer.steps_) {
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
    if (answer.end_ == AnswerEnd::Reset)
        socket.set_option(asio::socket_base::linger(true, 0), error);
    if (answer.end_ != AnswerEnd::KeepOpen)
        socket.close(error);
    co_return answer.end_ == AnswerEnd::KeepOpen;
}

} // namespace chervilspring
