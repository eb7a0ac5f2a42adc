// Tests detail/net/http_server.hpp and direct_server.hpp: a request that never ends, such as the
// registration of a faulty upstream, must not exhaust memory.
#include "chervilspring/detail/net/direct_server.hpp"
#include "chervilspring/detail/net/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace chervilspring;
namespace asio = boost::asio;
namespace data = boost::unit_test::data;
using asio::use_awaitable;
using asio::ip::tcp;

constexpr std::size_t bodyLimit = 1u << 20;
constexpr std::size_t maxAcceptedBytes = 16u << 20; // limit of the body plus socket buffers
constexpr nanoseconds closeTimeout = seconds(5);
constexpr std::size_t defaultChunkBytes = 64u << 10;

struct Case
{
    const char *name_;
    std::string prefix_;
    std::string filler_;
    std::size_t chunkBytes_ = defaultChunkBytes; ///< minimum bytes per write of the repeated filler
};

std::ostream &operator<<(std::ostream &out, const Case &item)
{
    return out << item.name_;
}

const std::string head = "PUT /-/instances/i-1 HTTP/1.1\r\nHost: x\r\n";
const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";

const Case cases[] = {
    {"bytes that are not a request", "", "zyxw"},
    {"request line", "PUT /", "x"},
    {"header fields", head, "X-A: b\r\n"},
    {"header fields line by line", head + "X", "-A: b\r\nX", 8},
    {"body of a terabyte", head + "Content-Length: 1099511627776\r\n\r\n", "x"},
    {"chunks", chunked, "400\r\n" + std::string(1024, 'x') + "\r\n"},
    {"chunk header", chunked + "4;a=", "x"},
    {"trailer", chunked + "0\r\n", "X-A: b\r\n"},
    {"trailer line by line", chunked + "0\r\nX", "-A: b\r\nX", 8},
};

struct SendResult
{
    std::size_t sent_ = 0; ///< bytes of filler that were sent
    bool closed_ = false; ///< the server has closed the connection
};

asio::awaitable<void> sendUnboundedRequest(std::uint16_t port, Case item, SendResult &result)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect({asio::ip::make_address("127.0.0.1"), port}, use_awaitable);
    std::string filler;
    while (filler.size() < item.chunkBytes_)
        filler += item.filler_;
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(item.prefix_),
                               asio::redirect_error(use_awaitable, error));
    while (!error) {
        const std::size_t count = co_await asio::async_write(
            socket, asio::buffer(filler), asio::redirect_error(use_awaitable, error));
        result.sent_ += count;
        // Lets the server read each line before the next one arrives.
        asio::steady_timer pause(socket.get_executor(), std::chrono::microseconds(10));
        if (filler.size() < defaultChunkBytes)
            co_await pause.async_wait(use_awaitable);
    }
    result.closed_ = true;
}

void checkServerCloses(asio::io_context &context, std::uint16_t port, const Case &item)
{
    SendResult result;
    const Instant startedAt = BootClock::now();
    asio::co_spawn(context, sendUnboundedRequest(port, item, result), asio::detached);
    while (BootClock::now() - startedAt < closeTimeout && !result.closed_)
        context.run_for(milliseconds(10));
    BOOST_TEST(result.closed_);
    BOOST_TEST(result.sent_ <= maxAcceptedBytes);
    context.stop();
}

BOOST_DATA_TEST_CASE(http_server_closes_on_unbounded_request, data::make(cases), item)
{
    asio::io_context context;
    HttpServer server(context, HttpLimits{bodyLimit, seconds(30)},
                      [](const HttpExchangePointer &) { BOOST_ERROR("the handler was called"); });
    checkServerCloses(context, server.listen("127.0.0.1", 0), item);
}

BOOST_DATA_TEST_CASE(direct_server_closes_on_unbounded_request, data::make(cases), item)
{
    asio::io_context context;
    DirectServer server(context,
                        DirectHandlers{[](const DirectExchangePointer &) {
                                           BOOST_ERROR("the request handler was called");
                                       },
                                       [](std::uint64_t) {}});
    CallerLimits limits;
    limits.bodyBytes_ = bodyLimit;
    limits.headerTime_ = seconds(30);
    server.setLimits(limits);
    const std::uint16_t port = [&] {
        const tcp::acceptor free(context, {asio::ip::make_address("127.0.0.1"), 0});
        return free.local_endpoint().port();
    }();
    server.listen({asio::ip::make_address("127.0.0.1"), port});
    checkServerCloses(context, port, item);
}

} // namespace
