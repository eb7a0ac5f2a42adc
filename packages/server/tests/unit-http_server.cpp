// Tests detail/net/http_server.hpp on sockets: handlers that fail, and a process that is out of
// file descriptors.
#include "chervilspring/detail/net/http_client.hpp"
#include "chervilspring/detail/net/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace {

using namespace chervilspring;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr nanoseconds waitLimit = seconds(5);
const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

struct Fixture
{
    explicit Fixture(std::function<void(HttpExchangePointer)> handler)
        : server_(context_, HttpLimits{}, std::move(handler)), caller_(callerContext_)
    {
        endpoint_ = {asio::ip::make_address("127.0.0.1"), server_.listen("127.0.0.1", 0)};
        caller_.open(endpoint_.protocol());
    }

    // Sends a request and runs the server until an answer or the end of the connection arrives.
    std::string call()
    {
        caller_.connect(endpoint_);
        caller_.non_blocking(true);
        asio::write(caller_, asio::buffer(request));
        std::string received(4096, '\0');
        boost::system::error_code error = asio::error::would_block;
        const Instant startedAt = BootClock::now();
        std::size_t count = 0;
        while (error == asio::error::would_block && BootClock::now() - startedAt < waitLimit) {
            context_.run_for(milliseconds(1));
            count = caller_.read_some(asio::buffer(received), error);
        }
        return received.substr(0, count);
    }

    asio::io_context context_{1};
    asio::io_context callerContext_;
    HttpServer server_;
    tcp::endpoint endpoint_;
    tcp::socket caller_;
};

BOOST_AUTO_TEST_CASE(http_request_whose_handler_fails_is_answered)
{
    Fixture fixture([](const HttpExchangePointer &) { throw std::runtime_error("no such thing"); });
    const std::string answer = fixture.call();
    BOOST_TEST(answer.starts_with("HTTP/1.1 500"), answer);
    BOOST_TEST(answer.find("may_have_run") != std::string::npos, answer);
    fixture.context_.run_for(milliseconds(20));
    BOOST_TEST(fixture.server_.busyConnections() == 0u);
}

// Limits the descriptors of this process to those that are open.
class NoFreeDescriptor
{
public:
    NoFreeDescriptor()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const int lowestFree = fcntl(STDIN_FILENO, F_DUPFD, 0);
        close(lowestFree);
        rlimit none = before_;
        none.rlim_cur = static_cast<rlim_t>(lowestFree);
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~NoFreeDescriptor() { setrlimit(RLIMIT_NOFILE, &before_); }
    NoFreeDescriptor(const NoFreeDescriptor &) = delete;
    NoFreeDescriptor &operator=(const NoFreeDescriptor &) = delete;

private:
    rlimit before_{};
};

BOOST_AUTO_TEST_CASE(http_server_without_free_descriptors_pauses_and_accepts_later)
{
    Fixture fixture([](const HttpExchangePointer &exchange) { exchange->answer(HttpAnswer{}); });
    fixture.context_.run_for(milliseconds(1));
    {
        const NoFreeDescriptor limit;
        fixture.caller_.connect(fixture.endpoint_);
        std::size_t handlers = 0;
        const Instant startedAt = BootClock::now();
        while (BootClock::now() - startedAt < milliseconds(100))
            handlers += fixture.context_.run_one_for(milliseconds(10));
        BOOST_TEST(handlers <= 100u);
    }
    fixture.caller_.close();
    fixture.caller_.open(fixture.endpoint_.protocol());
    const std::string answer = fixture.call();
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer);
}

// The connection was closed without an answer, and the request counted as in progress for good.
BOOST_AUTO_TEST_CASE(request_is_answered_and_ended_if_its_handler_throws)
{
    asio::io_context context;
    HttpServer server(context, HttpLimits{}, [](const HttpExchangePointer &exchange) {
        if (exchange->path() == "/throws")
            throw std::runtime_error("a fault");
        exchange->answer(HttpAnswer{200, "text/plain", {}, "ok"});
    });
    const std::uint16_t port = server.listen("127.0.0.1", 0);
    HttpClient client(context);
    std::vector<HttpCallResult> results;
    for (const char *path : {"/throws", "/"}) {
        HttpCall call;
        call.address_ = "127.0.0.1";
        call.port_ = port;
        call.target_ = path;
        call.limit_ = seconds(5);
        asio::co_spawn(context, client.perform(std::move(call)),
                       [&](std::exception_ptr, HttpCallResult result) {
                           results.push_back(std::move(result));
                       });
        const std::size_t expected = results.size() + 1;
        while (results.size() < expected)
            context.run_one();
    }
    BOOST_TEST((results[0].end_ == HttpCallEnd::Answered));
    BOOST_TEST(results[0].status_ == 500u);
    BOOST_TEST(results[1].status_ == 200u);
    context.run_for(milliseconds(50));
    BOOST_TEST(server.busyConnections() == 0u);
}

} // namespace
