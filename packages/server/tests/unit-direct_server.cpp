// Tests detail/net/direct_server.hpp on sockets, without upstreams: closing connections beside
// requests, callers that disconnect, and handlers that fail.
#include "chervilspring/detail/net/direct_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

namespace {

using namespace chervilspring;
namespace asio = boost::asio;
namespace data = boost::unit_test::data;
using asio::ip::tcp;

constexpr milliseconds waitLimit = seconds(5); // for what must happen
constexpr nanoseconds settleTime = milliseconds(60); // for what must not happen

// A caller whose socket is used outside of the server's context, so that bytes can be sent while
// the server is not running.
class Caller
{
public:
    explicit Caller(std::uint16_t port) : socket_(context_)
    {
        socket_.connect({asio::ip::make_address("127.0.0.1"), port});
        socket_.non_blocking(true);
    }

    void send(std::string_view bytes)
    {
        boost::system::error_code error;
        asio::write(socket_, asio::buffer(bytes), error);
        BOOST_REQUIRE_MESSAGE(!error, "send: " << error.message());
    }

    // Reads what has arrived.
    void receive()
    {
        std::array<char, 16384> chunk{};
        while (!closed_ && !reset_) {
            boost::system::error_code error;
            const std::size_t count = socket_.read_some(asio::buffer(chunk), error);
            received_.append(chunk.data(), count);
            closed_ = error == asio::error::eof;
            reset_ = error == asio::error::connection_reset;
            if (error)
                return;
        }
    }

    // Closes the connection; with a reset, which the server detects without reading, or without.
    void leave(bool reset)
    {
        if (reset)
            socket_.set_option(asio::socket_base::linger(true, 0));
        socket_.close();
    }

    bool received(std::string_view text) const { return received_.find(text) != std::string::npos; }

    std::string received_; ///< all bytes received so far
    bool closed_ = false; ///< the server has closed the connection in an orderly way
    bool reset_ = false; ///< the server has reset the connection

private:
    asio::io_context context_;
    tcp::socket socket_;
};

struct Fixture
{
    Fixture()
        : server_(context_,
                  DirectHandlers{[this](const DirectExchangePointer &exchange) {
                                     exchanges_.push_back(exchange);
                                     if (onRequest_)
                                         onRequest_(exchange);
                                 },
                                 [this](std::uint64_t token) {
                                     gone_.push_back(token);
                                     if (onGone_)
                                         onGone_();
                                 }})
    {
        limits_.idleTime_ = waitLimit;
        limits_.headerTime_ = waitLimit;
        server_.setLimits(limits_);
        port_ = server_.listen({asio::ip::make_address("127.0.0.1"), 0});
    }

    ~Fixture() { context_.stop(); }

    // Runs the server until a condition holds. Returns whether it does.
    template<typename Condition> bool runUntil(Condition condition, nanoseconds limit = waitLimit)
    {
        const Instant startedAt = BootClock::now();
        while (!condition() && BootClock::now() - startedAt < limit)
            context_.run_for(milliseconds(1));
        return condition();
    }

    bool runUntilReceived(Caller &caller, std::string_view text)
    {
        return runUntil([&] {
            caller.receive();
            return caller.received(text);
        });
    }

    void runFor(nanoseconds time)
    {
        runUntil([] { return false; }, time);
    }

    // Lets timers of the server expire and bytes arrive while the server does not run.
    static void pause(nanoseconds time) { std::this_thread::sleep_for(time); }

    void setTimes(milliseconds idleTime, milliseconds headerTime)
    {
        limits_.idleTime_ = idleTime;
        limits_.headerTime_ = headerTime;
        server_.setLimits(limits_);
    }

    asio::io_context context_{1};
    std::vector<DirectExchangePointer> exchanges_; ///< of all requests, in order
    std::vector<std::uint64_t> gone_; ///< tokens of callers that were reported as gone
    std::function<void(const DirectExchangePointer &)> onRequest_; ///< empty: no answer
    std::function<void()> onGone_; ///< called after a token was added to gone_
    CallerLimits limits_;
    DirectServer server_;
    std::uint16_t port_ = 0;
};

const std::string head = "POST /a/b HTTP/1.1\r\nHost: x\r\n";
const std::string request = head + "Content-Length: 4\r\n\r\nbody";
const std::string answerHead = "HTTP/1.1 200 OK\r\n";
const std::string answerStatus = "HTTP/1.1 200";

void answerOk(const DirectExchangePointer &exchange)
{
    exchange->answer(answerHead, "done");
}

struct SplitRequest
{
    const char *name_;
    std::string beforeDeadline_; ///< received before the server is paused
    std::string duringPause_; ///< arrives while the server is paused
    std::string afterPause_; ///< sent after the server has continued
};

std::ostream &operator<<(std::ostream &out, const SplitRequest &item)
{
    return out << item.name_;
}

const SplitRequest lateRequests[] = {
    {"idle time ends beside part of the head", "", request.substr(0, 10), request.substr(10)},
    {"idle time ends beside the head", "", request.substr(0, request.size() - 4), "body"},
    {"time for the head ends beside its end", request.substr(0, 10),
     request.substr(10, request.size() - 12), "dy"},
};

BOOST_DATA_TEST_CASE(deadline_that_expires_beside_arriving_bytes_cancels_no_later_read,
                     data::make(lateRequests), item)
{
    constexpr milliseconds limit(100);
    Fixture fixture;
    fixture.onRequest_ = answerOk;
    fixture.setTimes(limit, limit);
    Caller caller(fixture.port_);
    caller.send(item.beforeDeadline_);
    fixture.runFor(limit / 4);
    caller.send(item.duringPause_);
    Fixture::pause(limit);
    fixture.runFor(limit / 4);
    caller.send(item.afterPause_);
    BOOST_TEST(fixture.runUntilReceived(caller, "done"), caller.received_);
}

BOOST_AUTO_TEST_CASE(deadline_that_expires_beside_a_request_does_not_cut_its_answer)
{
    constexpr milliseconds limit(100);
    const std::string body = std::string(16u << 20, 'x') + "last bytes";
    Fixture fixture;
    fixture.onRequest_ = [&](const DirectExchangePointer &exchange) {
        exchange->answer(answerHead, body);
    };
    fixture.setTimes(limit, limit);
    Caller caller(fixture.port_);
    fixture.runFor(limit / 4);
    caller.send(request);
    Fixture::pause(limit);
    BOOST_TEST(fixture.runUntilReceived(caller, "last bytes"),
               caller.received_.size() << " bytes received");
}

BOOST_AUTO_TEST_CASE(deadline_that_expires_beside_a_request_does_not_hide_a_disconnect)
{
    constexpr milliseconds limit(100);
    Fixture fixture;
    fixture.setTimes(limit, limit);
    Caller caller(fixture.port_);
    fixture.runFor(limit / 4);
    caller.send(request);
    Fixture::pause(limit);
    fixture.runFor(settleTime);
    BOOST_REQUIRE_EQUAL(fixture.exchanges_.size(), 1u);
    caller.leave(false);
    BOOST_TEST(fixture.runUntil([&] { return !fixture.gone_.empty(); }));
}

} // namespace
