// Tests DirectExchange in detail/net/direct_server.hpp: a caller gets one response, and its end
// only if it is whole.
#include "chervilspring/detail/net/direct_server.hpp"
#include "test_caller.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

namespace {

using namespace chervilspring;
namespace asio = boost::asio;
namespace data = boost::unit_test::data;

const std::string streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
const std::string event = "id: 1\ndata: token\n\n";

// Part of a response, as decided by the owner of the exchange.
enum class Part { Refusal, Answer, Events, Abort };

struct PartsRow
{
    const char *name_;
    std::vector<Part> parts_; ///< requested without waiting for the earlier ones
    unsigned status_; ///< that the caller gets
    std::string body_;
    bool complete_;
};

std::ostream &operator<<(std::ostream &stream, const PartsRow &row)
{
    return stream << row.name_;
}

const std::string refusalBody = "{\"error\":{\"reason\":\"timeout\"}}";
const PartsRow partsTable[] = {
    {"refusal", {Part::Refusal}, 504, refusalBody, true},
    {"events after a refusal", {Part::Refusal, Part::Events}, 504, refusalBody, true},
    {"events after an answer", {Part::Answer, Part::Events}, 500, "text", true},
    {"refusal after events", {Part::Events, Part::Refusal}, 200, event, false},
    {"answer after events", {Part::Events, Part::Answer}, 200, event, false},
    {"abort after events", {Part::Events, Part::Abort}, 200, event, false},
    {"events after an abort", {Part::Events, Part::Abort, Part::Events}, 200, event, false},
};

asio::awaitable<void> streamEvent(DirectExchangePointer exchange)
{
    std::string head = exchange->headSent() ? std::string() : streamHead;
    std::string bytes = event;
    co_await exchange->stream(std::move(head), std::move(bytes), false);
}

void send(asio::io_context &context, const DirectExchangePointer &exchange, Part part)
{
    switch (part) {
    case Part::Refusal:
        exchange->refuse(504, nanoseconds(0), "timeout");
        return;
    case Part::Answer:
        exchange->answer("HTTP/1.1 500 Failed\r\n", "text");
        return;
    case Part::Events:
        asio::co_spawn(context, streamEvent(exchange), asio::detached);
        return;
    case Part::Abort:
        exchange->abort();
        return;
    }
}

BOOST_DATA_TEST_CASE(parts_of_two_responses_are_never_mixed, data::make(partsTable), row)
{
    const std::uint16_t port = findFreePort();
    asio::io_context context(1);
    DirectHandlers handlers;
    handlers.onRequest_ = [&](const DirectExchangePointer &exchange) {
        for (const Part part : row.parts_)
            send(context, exchange, part);
    };
    handlers.onCallerGone_ = [](std::uint64_t) {};
    DirectServer server(context, handlers);
    server.listen({asio::ip::address_v4::loopback(), port});
    std::thread thread([&] { context.run(); });
    TestCaller caller(port);
    caller.send("GET / HTTP/1.1\r\nHost: host\r\n\r\n");
    const Received received = caller.receive(seconds(1));
    context.stop();
    thread.join();
    BOOST_TEST(received.status_ == row.status_);
    BOOST_TEST(received.body_ == row.body_);
    BOOST_TEST(received.complete_ == row.complete_);
    BOOST_TEST(received.closed_ == !row.complete_);
    if (row.complete_)
        BOOST_TEST(received.responseBytes_ == received.bytes_.size());
}

} // namespace
