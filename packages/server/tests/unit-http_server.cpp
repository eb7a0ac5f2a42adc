// Tests detail/net/http_server.hpp: handlers that throw.
#include "chervilspring/detail/net/http_client.hpp"
#include "chervilspring/detail/net/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

#include <stdexcept>

namespace {

using namespace chervilspring;
namespace asio = boost::asio;

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
