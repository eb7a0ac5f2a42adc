#include "test_caller.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

namespace chervilspring {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

using MaxSegment = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;

constexpr int smallBufferBytes = 4096;
constexpr int smallSegmentBytes = 536; // the size of the sender's buffer depends on it
constexpr auto extraBytesTime = milliseconds(50); // wait for bytes after a complete response

void parseResponse(Received &received)
{
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    received.responseBytes_ = 0;
    while (!error && !parser.is_done() && received.responseBytes_ < received.bytes_.size()) {
        const std::size_t parsed =
            parser.put(asio::buffer(received.bytes_) + received.responseBytes_, error);
        received.responseBytes_ += parsed;
        if (parsed == 0)
            break;
    }
    if (!parser.is_header_done())
        return;
    received.status_ = parser.get().result_int();
    received.body_ = parser.get().body();
    received.complete_ = parser.is_done();
}

} // namespace

TestCaller::TestCaller(std::uint16_t port, CallerBuffers buffers) : socket_(context_)
{
    socket_.open(tcp::v4());
    if (buffers == CallerBuffers::Small) {
        socket_.set_option(asio::socket_base::receive_buffer_size(smallBufferBytes));
        socket_.set_option(MaxSegment(smallSegmentBytes));
    }
    socket_.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port));
}

void TestCaller::send(const std::string &bytes)
{
    asio::write(socket_, asio::buffer(bytes));
}

Received TestCaller::receive(milliseconds timeout)
{
    Received received;
    Instant end = BootClock::now() + timeout;
    bool wasComplete = false;
    while (!received.closed_ && BootClock::now() < end) {
        boost::system::error_code error;
        char buffer[16384];
        std::size_t count = 0;
        socket_.async_read_some(asio::buffer(buffer),
                                [&](boost::system::error_code readError, std::size_t size) {
                                    error = readError;
                                    count = size;
                                });
        context_.restart();
        if (context_.run_for(end - BootClock::now()) == 0) {
            socket_.cancel();
            context_.restart();
            context_.run();
        }
        received.bytes_.append(buffer, count);
        received.closed_ = error && error != asio::error::operation_aborted;
        parseResponse(received);
        if (received.complete_ && !wasComplete)
            end = BootClock::now() + extraBytesTime;
        wasComplete = received.complete_;
    }
    return received;
}

void TestCaller::reset()
{
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
}

std::uint16_t findFreePort()
{
    asio::io_context context;
    return tcp::acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        .local_endpoint()
        .port();
}

} // namespace chervilspring
