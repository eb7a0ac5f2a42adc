// Tests detail/net/http_client.hpp and event_splitter.hpp: a server that never stops sending must
// not exhaust memory or block the call.
#include "chervilspring/detail/net/event_splitter.hpp"
#include "chervilspring/detail/net/http_client.hpp"

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
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

constexpr std::size_t maxAcceptedBytes = 16u << 20; // limit of an answer plus socket buffers
constexpr nanoseconds callTimeout = seconds(5);
constexpr std::size_t defaultChunkBytes = 64u << 10;

struct Case
{
    const char *name_;
    std::string prefix_;
    std::string filler_;
    bool events_ = false; ///< whether the call expects events instead of a body
    std::size_t chunkBytes_ = defaultChunkBytes; ///< minimum bytes per write of the repeated filler
};

std::ostream &operator<<(std::ostream &out, const Case &item)
{
    return out << item.name_;
}

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string chunk = "400\r\n" + std::string(1024, 'x') + "\r\n";

const Case cases[] = {
    {"bytes that are not an answer", "", "zyxw"},
    {"status line", "HTTP/1.1 200 ", "x"},
    {"header field", head + "X-A: ", "b"},
    {"header fields", head, "X-A: b\r\n"},
    {"body that ends with the connection", head + "\r\n", "x"},
    {"body of a terabyte", head + "Content-Length: 1099511627776\r\n\r\n", "x"},
    {"chunks", chunked, chunk},
    {"chunk of a terabyte", chunked + "10000000000\r\n", "x"},
    {"chunk header", chunked + "4;a=", "x"},
    {"trailer", chunked + "0\r\n", "X-A: b\r\n"},
    {"event", head + "\r\ndata: ", "x", true},
    {"event in chunks", chunked, chunk, true},
    {"header fields line by line", head + "X", "-A: b\r\nX", false, 8},
    {"trailer line by line", chunked + "0\r\nX", "-A: b\r\nX", false, 8},
};

/// Answers a request with prefix_, then repeats the filler until the connection is closed.
class UnboundedAnswerServer
{
public:
    UnboundedAnswerServer(asio::io_context &context, const Case &item)
        : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}), prefix_(item.prefix_)
    {
        while (filler_.size() < item.chunkBytes_)
            filler_ += item.filler_;
        asio::co_spawn(context, serve(), asio::detached);
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    std::size_t sent_ = 0; ///< bytes of filler that were sent
    bool closed_ = false; ///< the client has closed the connection

private:
    asio::awaitable<void> serve()
    {
        tcp::socket socket = co_await acceptor_.async_accept(use_awaitable);
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        co_await http::async_read(socket, buffer, request, use_awaitable);
        boost::system::error_code error;
        co_await asio::async_write(socket, asio::buffer(prefix_),
                                   asio::redirect_error(use_awaitable, error));
        while (!error) {
            const std::size_t count = co_await asio::async_write(
                socket, asio::buffer(filler_), asio::redirect_error(use_awaitable, error));
            sent_ += count;
            // Lets the client read each line before the next one arrives.
            asio::steady_timer pause(socket.get_executor(), std::chrono::microseconds(10));
            if (filler_.size() < defaultChunkBytes)
                co_await pause.async_wait(use_awaitable);
        }
        closed_ = true;
    }

    tcp::acceptor acceptor_;
    std::string prefix_;
    std::string filler_;
};

BOOST_DATA_TEST_CASE(call_fails_on_unbounded_answer, data::make(cases), item)
{
    asio::io_context context;
    UnboundedAnswerServer server(context, item);
    HttpClient client(context);
    HttpCall call;
    call.address_ = "127.0.0.1";
    call.port_ = server.port();
    call.target_ = "/";
    call.limit_ = seconds(30);
    std::function<void(const std::string &)> onEvent;
    if (item.events_)
        onEvent = [](const std::string &) {};
    std::optional<HttpCallResult> result;
    const Instant startedAt = BootClock::now();
    asio::co_spawn(
        context, client.perform(call, onEvent),
        [&](std::exception_ptr, HttpCallResult callResult) { result = std::move(callResult); });
    while (BootClock::now() - startedAt < callTimeout && !(result && server.closed_))
        context.run_for(milliseconds(10));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->end_ == HttpCallEnd::Broken));
    BOOST_TEST(server.closed_);
    BOOST_TEST(server.sent_ <= maxAcceptedBytes);
}

// Searching the whole incomplete event again for every chunk would take quadratic time.
BOOST_AUTO_TEST_CASE(unbounded_event_is_detected)
{
    EventSplitter splitter;
    const std::string chunkText(16384, 'x');
    std::size_t added = 0;
    while (!splitter.isEventTooLong() && added < maxAcceptedBytes) {
        splitter.add(chunkText);
        BOOST_TEST(splitter.takeEvents().empty());
        added += chunkText.size();
    }
    BOOST_TEST(splitter.isEventTooLong());
    BOOST_TEST(added <= (1u << 20));
}

} // namespace
