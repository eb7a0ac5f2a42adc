// Tests detail/net/http_client.hpp: reuse of idle connections, and idle connections on which the
// server no longer answers or sends bytes that belong to no call.
#include "chervilspring/detail/net/http_client.hpp"
#include "scripted_upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

namespace {

using namespace chervilspring;
namespace asio = boost::asio;
namespace data = boost::unit_test::data;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

/// Answers only on connections accepted in the current generation; older ones stay open without
/// an answer.
class StaleConnectionServer
{
public:
    explicit StaleConnectionServer(asio::io_context &context)
        : context_(context), acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(context_, acceptLoop(), asio::detached);
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    int generation_ = 0; ///< raised by a test to make the open connections stale
    int accepted_ = 0; ///< number of accepted connections

private:
    asio::awaitable<void> acceptLoop()
    {
        while (true) {
            boost::system::error_code error;
            tcp::socket socket =
                co_await acceptor_.async_accept(asio::redirect_error(use_awaitable, error));
            if (error)
                co_return;
            ++accepted_;
            asio::co_spawn(context_, serve(std::move(socket), generation_), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket, int generation)
    {
        boost::beast::flat_buffer buffer;
        while (true) {
            http::request<http::string_body> request;
            boost::system::error_code error;
            co_await http::async_read(socket, buffer, request,
                                      asio::redirect_error(use_awaitable, error));
            if (error)
                co_return;
            if (generation != generation_)
                continue; // simulates a connection whose state was lost on the way
            http::response<http::string_body> answer(http::status::ok, 11);
            answer.body() = "ok";
            answer.prepare_payload();
            co_await http::async_write(socket, answer, asio::redirect_error(use_awaitable, error));
        }
    }

    asio::io_context &context_;
    tcp::acceptor acceptor_;
};

struct Fixture
{
    Fixture() : server_(context_), client_(context_) { }

    // Makes calls at the same time and returns their results in the order in which they ended.
    std::vector<HttpCallResult> callConcurrently(int count)
    {
        std::vector<HttpCallResult> results;
        for (int i = 0; i < count; ++i) {
            HttpCall call;
            call.address_ = "127.0.0.1";
            call.port_ = server_.port();
            call.target_ = "/";
            call.limit_ = milliseconds(200);
            call.reuse_ = true;
            asio::co_spawn(context_, client_.perform(std::move(call)),
                           [&](std::exception_ptr, const HttpCallResult &result) {
                               results.push_back(result);
                           });
        }
        while (static_cast<int>(results.size()) < count)
            context_.run_one();
        return results;
    }

    asio::io_context context_;
    StaleConnectionServer server_;
    HttpClient client_;
};

BOOST_AUTO_TEST_CASE(connections_are_reused)
{
    Fixture fixture;
    for (int i = 0; i < 5; ++i)
        BOOST_TEST((fixture.callConcurrently(1)[0].end_ == HttpCallEnd::Answered));
    BOOST_TEST(fixture.server_.accepted_ == 1);
}

// A proxy or NAT may drop the state of all open connections at once, without a reset. Only the
// first call may time out.
BOOST_AUTO_TEST_CASE(timeout_on_an_idle_connection_closes_the_other_idle_ones)
{
    Fixture fixture;
    fixture.callConcurrently(6);
    ++fixture.server_.generation_;
    BOOST_TEST((fixture.callConcurrently(1)[0].end_ == HttpCallEnd::TimedOut));
    BOOST_TEST((fixture.callConcurrently(1)[0].end_ == HttpCallEnd::Answered));
}

HttpCallResult callUpstream(asio::io_context &context, HttpClient &client, std::uint16_t port,
                            const std::string &address = "127.0.0.1")
{
    HttpCall call;
    call.address_ = address;
    call.port_ = port;
    call.target_ = "/";
    call.limit_ = seconds(2);
    call.reuse_ = true;
    std::optional<HttpCallResult> result;
    asio::co_spawn(context, client.perform(std::move(call)),
                   [&](const std::exception_ptr &exception, const HttpCallResult &callResult) {
                       BOOST_TEST(!exception);
                       result = callResult;
                   });
    while (!result)
        context.run_one();
    context.run_for(milliseconds(20));
    return *result;
}

// Answers to stage calls carry no id: a repeated one would give a request the results of another.
BOOST_AUTO_TEST_CASE(bytes_on_an_idle_connection_are_not_read_as_the_answer_to_the_next_call)
{
    const auto answer = [](int number) {
        return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(number);
    };
    asio::io_context context;
    ScriptedUpstream upstream(
        context, [&](int number, const ScriptedUpstream::Request &) { return answer(number); });
    HttpClient client(context);
    BOOST_TEST(callUpstream(context, client, upstream.port()).body_ == "1");
    upstream.writeUnasked(answer(1));
    context.run_for(milliseconds(20));
    BOOST_TEST(callUpstream(context, client, upstream.port()).body_ == "2");
    BOOST_TEST(upstream.connections() == 2);
}

BOOST_AUTO_TEST_CASE(call_to_an_address_that_is_no_ip_address_is_reported_as_unreachable)
{
    asio::io_context context;
    HttpClient client(context);
    const HttpCallResult result = callUpstream(context, client, 80, "no address");
    BOOST_TEST((result.end_ == HttpCallEnd::Unreachable));
    BOOST_TEST(!result.detail_.empty());
}

struct StatusRow
{
    const char *statusLine_;
    unsigned status_; ///< as reported
    bool successful_;
};

std::ostream &operator<<(std::ostream &stream, const StatusRow &row)
{
    return stream << row.statusLine_;
}

const StatusRow statusTable[] = {
    {"HTTP/1.1 200 OK", 200, true},
    {"HTTP/1.1 000 Unknown", 0, false},
    {"HTTP/1.1 404 Not Found", 404, false},
    {"HTTP/1.1 500 Internal Server Error", 500, false},
};

// Guards against events of an answer that is no success, or has no valid status, being passed on to
// callers as tokens.
BOOST_DATA_TEST_CASE(events_of_an_unsuccessful_answer_are_not_passed_on,
                     data::make(statusTable) * data::make({true, false}), row, chunked)
{
    const std::string events = "data: one\n\ndata: two\n\n"; // 22 bytes
    asio::io_context context;
    ScriptedUpstream upstream(context, [&](int, const ScriptedUpstream::Request &) {
        const std::string head = std::string(row.statusLine_) + "\r\n";
        return chunked
            ? head + "Transfer-Encoding: chunked\r\n\r\n16\r\n" + events + "\r\n0\r\n\r\n"
            : head + "Content-Length: 22\r\n\r\n" + events;
    });
    HttpClient client(context);
    HttpCall call;
    call.address_ = "127.0.0.1";
    call.port_ = upstream.port();
    call.target_ = "/";
    std::vector<std::string> received;
    std::optional<HttpCallResult> result;
    asio::co_spawn(
        context, client.perform(call, [&](const std::string &event) { received.push_back(event); }),
        [&](std::exception_ptr, HttpCallResult ended) { result = std::move(ended); });
    for (int i = 0; i < 200 && !result; ++i)
        context.run_for(milliseconds(10));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->end_ == HttpCallEnd::Answered));
    BOOST_TEST(result->status_ == row.status_);
    BOOST_TEST(received.size() == (row.successful_ ? 2u : 0u));
    BOOST_TEST(result->body_ == (row.successful_ ? std::string() : events));
}

} // namespace
