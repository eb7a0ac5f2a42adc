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
#include <deque>
#include <filesystem>
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
    explicit Fixture(milliseconds idleTime = waitLimit, milliseconds headerTime = waitLimit)
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
        setTimes(idleTime, headerTime);
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

constexpr milliseconds shortLimit(300); // expires while the server is paused

struct SplitRequest
{
    const char *name_;
    milliseconds idleTime_;
    milliseconds headerTime_;
    std::string beforeDeadline_; ///< received before the server is paused
    std::string duringPause_; ///< arrives while the server is paused
    std::string afterPause_; ///< sent after the server has continued
};

std::ostream &operator<<(std::ostream &out, const SplitRequest &item)
{
    return out << item.name_;
}

const SplitRequest lateRequests[] = {
    {"idle time ends beside part of the head", shortLimit, waitLimit, "", request.substr(0, 10),
     request.substr(10)},
    {"idle time ends beside the head", shortLimit, waitLimit, "",
     request.substr(0, request.size() - 4), "body"},
    {"time for the head ends beside its end", waitLimit, shortLimit, request.substr(0, 10),
     request.substr(10, request.size() - 12), "dy"},
};

BOOST_DATA_TEST_CASE(deadline_that_expires_beside_arriving_bytes_cancels_no_later_read,
                     data::make(lateRequests), item)
{
    Fixture fixture(item.idleTime_, item.headerTime_);
    fixture.onRequest_ = answerOk;
    Caller caller(fixture.port_);
    caller.send(item.beforeDeadline_);
    fixture.runFor(settleTime);
    caller.send(item.duringPause_);
    Fixture::pause(shortLimit);
    fixture.runFor(settleTime);
    caller.send(item.afterPause_);
    BOOST_TEST(fixture.runUntilReceived(caller, "done"), caller.received_);
}

BOOST_AUTO_TEST_CASE(deadline_that_expires_beside_a_request_does_not_cut_its_answer)
{
    const std::string body = std::string(16u << 20, 'x') + "last bytes";
    Fixture fixture(shortLimit);
    fixture.onRequest_ = [&](const DirectExchangePointer &exchange) {
        exchange->answer(answerHead, body);
    };
    Caller caller(fixture.port_);
    fixture.runFor(settleTime);
    caller.send(request);
    Fixture::pause(shortLimit);
    BOOST_TEST(fixture.runUntilReceived(caller, "last bytes"),
               caller.received_.size() << " bytes received");
}

BOOST_AUTO_TEST_CASE(deadline_that_expires_beside_a_request_does_not_hide_a_disconnect)
{
    Fixture fixture(shortLimit);
    Caller caller(fixture.port_);
    fixture.runFor(settleTime);
    caller.send(request);
    Fixture::pause(shortLimit);
    fixture.runFor(settleTime);
    BOOST_REQUIRE_EQUAL(fixture.exchanges_.size(), 1u);
    caller.leave(false);
    BOOST_TEST(fixture.runUntil([&] { return !fixture.gone_.empty(); }));
}

struct StopRow
{
    const char *name_;
    std::string beforeStop_; ///< read by the server before it stops
    std::string besideStop_; ///< arrives just before the server stops, not read by then
    std::string afterStop_; ///< sent after the server has stopped
};

std::ostream &operator<<(std::ostream &out, const StopRow &item)
{
    return out << item.name_;
}

const StopRow stopRows[] = {
    {"request that is not read yet", "", request, ""},
    {"beginning of a request that is not read yet", "", request.substr(0, 10), request.substr(10)},
    {"half of a head", request.substr(0, 10), "", request.substr(10)},
    {"half of a body", request.substr(0, request.size() - 2), "", "dy"},
    {"half of a head, rest not read yet", request.substr(0, 10), request.substr(10), ""},
};

BOOST_DATA_TEST_CASE(stop_drops_no_request_that_has_begun_to_arrive, data::make(stopRows), item)
{
    Fixture fixture;
    fixture.onRequest_ = answerOk;
    Caller caller(fixture.port_);
    caller.send(item.beforeStop_);
    fixture.runFor(settleTime);
    BOOST_TEST(fixture.server_.busyConnections() == (item.beforeStop_.empty() ? 0u : 1u));
    caller.send(item.besideStop_);
    fixture.server_.closeAfterAnswers();
    fixture.server_.stop();
    fixture.runFor(settleTime);
    caller.send(item.afterStop_);
    BOOST_TEST(fixture.runUntilReceived(caller, "done"), caller.received_);
    BOOST_TEST(caller.received("Connection: close"));
    BOOST_TEST(fixture.runUntil([&] {
        caller.receive();
        return caller.closed_;
    }));
    BOOST_TEST(fixture.server_.busyConnections() == 0u);
}

BOOST_AUTO_TEST_CASE(stop_drops_no_request_that_arrives_before_the_end_of_the_previous_one)
{
    Fixture fixture;
    Caller caller(fixture.port_);
    caller.send(request);
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges_.size() == 1; }));
    caller.send(request);
    fixture.server_.stop();
    fixture.runFor(settleTime);
    fixture.exchanges_[0]->answer(answerHead, "first");
    BOOST_TEST(fixture.runUntilReceived(caller, "first"), caller.received_);
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges_.size() == 2; }, seconds(1)));
    fixture.exchanges_[1]->answer(answerHead, "second");
    BOOST_TEST(fixture.runUntilReceived(caller, "second"), caller.received_);
}

BOOST_AUTO_TEST_CASE(stop_closes_idle_connections)
{
    Fixture fixture;
    fixture.onRequest_ = answerOk;
    Caller unused(fixture.port_);
    Caller used(fixture.port_);
    used.send(request);
    BOOST_REQUIRE(fixture.runUntilReceived(used, "done"));
    fixture.runFor(settleTime);
    BOOST_TEST(fixture.server_.openConnections() == 2u);
    fixture.server_.stop();
    BOOST_TEST(fixture.runUntil([&] { return fixture.server_.openConnections() == 0; }));
    unused.receive();
    used.receive();
    BOOST_TEST(unused.closed_);
    BOOST_TEST(used.closed_);
}

BOOST_AUTO_TEST_CASE(answers_to_requests_in_progress_at_a_stop_announce_the_close)
{
    Fixture fixture;
    Caller caller(fixture.port_);
    caller.send(request);
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges_.size() == 1; }));
    fixture.server_.closeAfterAnswers();
    answerOk(fixture.exchanges_[0]);
    BOOST_TEST(fixture.runUntilReceived(caller, "done"));
    BOOST_TEST(caller.received("Connection: close"), caller.received_);
}

BOOST_DATA_TEST_CASE(request_that_was_read_beside_an_earlier_one_is_answered_at_a_stop,
                     data::make({true, false}) * data::make({true, false}), stopsFirst,
                     sentTogether)
{
    Fixture fixture;
    Caller caller(fixture.port_);
    if (stopsFirst)
        fixture.server_.closeAfterAnswers();
    caller.send(sentTogether ? request + request : request);
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges_.size() == 1; }));
    fixture.server_.closeAfterAnswers();
    if (!sentTogether)
        caller.send(request);
    fixture.runFor(settleTime);
    answerOk(fixture.exchanges_[0]);
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges_.size() == 2; }, seconds(1)));
    caller.receive();
    BOOST_TEST(!caller.received("Connection: close"), caller.received_);
    answerOk(fixture.exchanges_[1]);
    BOOST_TEST(fixture.runUntilReceived(caller, "Connection: close"), caller.received_);
}

struct IdleRow
{
    const char *name_;
    milliseconds oldLimit_;
    milliseconds newLimit_;
    milliseconds changedAfter_; ///< time between the last answer and the change; < 0: before it
    milliseconds reusedAfter_; ///< time between the last answer and the next request
};

std::ostream &operator<<(std::ostream &out, const IdleRow &item)
{
    return out << item.name_;
}

const IdleRow idleRows[] = {
    {"longer limit while the connection is idle", milliseconds(150), milliseconds(2000),
     milliseconds(50), milliseconds(600)},
    {"shorter limit while the connection is idle", milliseconds(2000), milliseconds(150),
     milliseconds(50), milliseconds(600)},
    {"shorter limit just before the connection is idle", milliseconds(2000), milliseconds(150),
     milliseconds(-1), milliseconds(600)},
    {"longer limit just before the connection is idle", milliseconds(150), milliseconds(2000),
     milliseconds(-1), milliseconds(600)},
};

// Callers learn of a changed limit at another time than the server.
BOOST_DATA_TEST_CASE(connection_is_reusable_for_the_longer_limit_around_a_change,
                     data::make(idleRows), item)
{
    Fixture fixture(item.oldLimit_);
    fixture.onRequest_ = answerOk;
    Caller caller(fixture.port_);
    if (item.changedAfter_ < milliseconds(0))
        fixture.setTimes(item.newLimit_, waitLimit);
    caller.send(request);
    BOOST_REQUIRE(fixture.runUntilReceived(caller, "done"));
    caller.received_.clear();
    if (item.changedAfter_ >= milliseconds(0)) {
        fixture.runFor(item.changedAfter_);
        fixture.setTimes(item.newLimit_, waitLimit);
    }
    fixture.runFor(item.reusedAfter_ - std::max(item.changedAfter_, milliseconds(0)));
    caller.send(request);
    BOOST_TEST(fixture.runUntilReceived(caller, "done"), caller.received_);
}

BOOST_AUTO_TEST_CASE(shorter_idle_limit_applies_once_the_old_one_has_passed)
{
    constexpr milliseconds oldLimit(300);
    Fixture fixture(oldLimit);
    fixture.setTimes(milliseconds(10), waitLimit);
    fixture.runFor(oldLimit + milliseconds(10));
    const Instant connectedAt = BootClock::now();
    Caller caller(fixture.port_);
    BOOST_TEST(fixture.runUntil([&] {
        caller.receive();
        return caller.closed_;
    }));
    BOOST_TEST((BootClock::now() - connectedAt < oldLimit));
}

struct DisconnectRow
{
    const char *name_;
    std::vector<std::string> furtherBytes_; ///< sent while the request is in progress
    bool sameSegment_; ///< the first of them is sent together with the request
    bool reset_; ///< the caller resets the connection
};

std::ostream &operator<<(std::ostream &out, const DisconnectRow &item)
{
    return out << item.name_;
}

const DisconnectRow disconnectRows[] = {
    {"no further bytes", {}, false, false},
    {"no further bytes, reset", {}, false, true},
    {"part of the next request with the request", {head}, true, false},
    {"part of the next request with the request, reset", {head}, true, true},
    {"next request with the request, then more", {request, head}, true, false},
    {"part of the next request later", {head}, false, false},
    {"part of the next request later, reset", {head}, false, true},
    {"next request in several parts", {head, "X-A: b\r\n", "\r\n"}, false, false},
};

BOOST_DATA_TEST_CASE(caller_that_disconnects_behind_further_bytes_is_noticed,
                     data::make(disconnectRows), item)
{
    Fixture fixture;
    Caller caller(fixture.port_);
    std::string first = request;
    auto next = item.furtherBytes_.begin();
    if (item.sameSegment_)
        first += *next++;
    caller.send(first);
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges_.size() == 1; }));
    for (; next != item.furtherBytes_.end(); ++next) {
        caller.send(*next);
        fixture.runFor(settleTime);
    }
    BOOST_TEST(fixture.gone_.empty());
    caller.leave(item.reset_);
    BOOST_TEST(fixture.runUntil([&] { return !fixture.gone_.empty(); }, seconds(1)));
    BOOST_TEST(fixture.gone_ == std::vector{fixture.exchanges_[0]->token()},
               boost::test_tools::per_element());
    BOOST_TEST(fixture.exchanges_[0]->ended());
    BOOST_TEST(fixture.runUntil([&] { return fixture.server_.openConnections() == 0; }));
    BOOST_TEST(fixture.exchanges_.size() == 1u);
}

BOOST_AUTO_TEST_CASE(requests_sent_ahead_are_answered_in_order)
{
    Fixture fixture;
    Caller caller(fixture.port_);
    caller.send(request + request.substr(0, 30));
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges_.size() == 1; }));
    caller.send(request.substr(30));
    fixture.runFor(settleTime);
    caller.send(request);
    fixture.runFor(settleTime);
    for (std::size_t i = 0; i < 3; ++i) {
        BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges_.size() == i + 1; }));
        fixture.exchanges_[i]->answer(answerHead, "answer " + std::to_string(i));
        BOOST_TEST(fixture.runUntilReceived(caller, "answer " + std::to_string(i)));
    }
    BOOST_TEST(fixture.gone_.empty());
}

// The wait for a readable socket must not be repeated while unread bytes make it readable.
BOOST_AUTO_TEST_CASE(caller_that_sends_far_ahead_causes_no_busy_loop)
{
    Fixture fixture;
    Caller caller(fixture.port_);
    caller.send(request);
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges_.size() == 1; }));
    caller.send(std::string(512u << 10, 'x'));
    fixture.runFor(settleTime);
    std::size_t handlers = 0;
    const Instant startedAt = BootClock::now();
    while (BootClock::now() - startedAt < settleTime)
        handlers += fixture.context_.run_one_for(milliseconds(10));
    BOOST_TEST(handlers <= 10u);
}

// Otherwise the run counts as broken and may be repeated for a caller that has left.
BOOST_AUTO_TEST_CASE(failed_write_of_a_stream_reports_the_caller_as_gone_before_the_run_ends)
{
    Fixture fixture;
    Caller caller(fixture.port_);
    caller.send(request);
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges_.size() == 1; }));
    std::vector<std::uint64_t> goneAtReturn;
    bool returned = false;
    bool reachable = true;
    const auto stream = [&]() -> asio::awaitable<void> {
        caller.leave(true);
        reachable = co_await fixture.exchanges_[0]->stream(answerHead, "data: 1\n\n", false);
        goneAtReturn = fixture.gone_;
        returned = true;
    };
    asio::co_spawn(fixture.context_, stream, asio::detached);
    BOOST_REQUIRE(fixture.runUntil([&] { return returned; }));
    BOOST_TEST(!reachable);
    BOOST_TEST(goneAtReturn.size() == 1u);
    BOOST_TEST(fixture.exchanges_[0]->ended());
    fixture.runFor(settleTime);
    BOOST_TEST(fixture.gone_.size() == 1u);
}

struct UnreadRow
{
    const char *name_;
    std::string bytes_; ///< what the caller sends before it reads
    std::string status_;
    std::string answerEnd_; ///< last bytes of the answer
};

std::ostream &operator<<(std::ostream &out, const UnreadRow &item)
{
    return out << item.name_;
}

constexpr std::size_t smallBodyLimit = 1u << 20;

const UnreadRow unreadRows[] = {
    {"body over the limit", head + "Content-Length: 1500000\r\n\r\n" + std::string(1500000, 'x'),
     "HTTP/1.1 413", "}"},
    {"header over the limit", head + "X-A: " + std::string(900000, 'x') + "\r\n\r\n",
     "HTTP/1.1 431", "}"},
    {"not a request, and more", "nonsense\r\n\r\n" + std::string(900000, 'x'), "HTTP/1.1 400", "}"},
    {"last request of the connection, and more",
     head + "Connection: close\r\nContent-Length: 4\r\n\r\nbody" + std::string(60000, 'x'),
     "HTTP/1.1 200", "last bytes"},
};

// Closing a socket with unread bytes resets the connection, which destroys an answer on its way.
BOOST_DATA_TEST_CASE(answer_is_not_destroyed_by_unread_bytes_of_its_caller, data::make(unreadRows),
                     item)
{
    const std::string body = std::string(1u << 20, 'x') + "last bytes";
    Fixture fixture;
    fixture.onRequest_ = [&](const DirectExchangePointer &exchange) {
        exchange->answer(answerHead, body);
        fixture.exchanges_.clear(); // a reference would keep the socket open
    };
    fixture.limits_.bodyBytes_ = smallBodyLimit;
    fixture.server_.setLimits(fixture.limits_);
    std::string received;
    boost::system::error_code writeError;
    boost::system::error_code readError;
    std::atomic<bool> done = false;
    std::thread caller([&] {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), fixture.port_});
        asio::write(socket, asio::buffer(item.bytes_), writeError);
        std::this_thread::sleep_for(milliseconds(100)); // a caller that is slow to read
        asio::read(socket, asio::dynamic_buffer(received), readError);
        done = true;
    });
    fixture.runUntil([&] { return done.load(); });
    caller.join();
    BOOST_TEST(writeError.message() == "Success");
    BOOST_TEST(readError.message() == "End of file");
    BOOST_TEST(received.starts_with(item.status_), received.substr(0, 100));
    BOOST_TEST(received.ends_with(item.answerEnd_), received.size() << " bytes received");
}

std::ptrdiff_t openDescriptors()
{
    const std::filesystem::directory_iterator descriptors("/proc/self/fd");
    return std::distance(begin(descriptors), end(descriptors));
}

BOOST_AUTO_TEST_CASE(connection_of_a_caller_that_does_not_close_is_released)
{
    Fixture fixture;
    Caller caller(fixture.port_);
    const std::ptrdiff_t descriptorsBefore = openDescriptors();
    caller.send(head + "Connection: close\r\n\r\n");
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges_.size() == 1; }));
    fixture.runFor(settleTime);
    BOOST_TEST(openDescriptors() == descriptorsBefore + 1);
    answerOk(fixture.exchanges_[0]);
    fixture.exchanges_.clear();
    BOOST_REQUIRE(fixture.runUntilReceived(caller, "done"));
    BOOST_TEST(fixture.runUntil([&] { return fixture.server_.openConnections() == 0; }));
    BOOST_TEST(openDescriptors() == descriptorsBefore);
}

struct PauseRow
{
    const char *name_;
    milliseconds idleTime_;
    milliseconds headerTime_;
    std::string beforePause_;
    std::string afterPause_; ///< sent after the deadline, but before the server continues
};

std::ostream &operator<<(std::ostream &out, const PauseRow &item)
{
    return out << item.name_;
}

const PauseRow pauseRows[] = {
    {"idle connections", shortLimit, waitLimit, "", request},
    {"half of a head", waitLimit, shortLimit, request.substr(0, 10), request.substr(10)},
};

// With that many sockets, timers expire before all of them were looked at.
BOOST_DATA_TEST_CASE(requests_that_arrived_while_the_server_was_paused_are_read,
                     data::make(pauseRows), item)
{
    constexpr std::size_t callerCount = 300;
    Fixture fixture(item.idleTime_, item.headerTime_);
    fixture.onRequest_ = answerOk;
    std::deque<Caller> callers;
    for (std::size_t i = 0; i < callerCount; ++i)
        callers.emplace_back(fixture.port_).send(item.beforePause_);
    fixture.runFor(settleTime);
    BOOST_REQUIRE_EQUAL(fixture.server_.openConnections(), callerCount);
    Fixture::pause(shortLimit);
    for (Caller &caller : callers)
        caller.send(item.afterPause_);
    fixture.runUntil([&] { return fixture.exchanges_.size() == callerCount; }, seconds(1));
    BOOST_TEST(fixture.exchanges_.size() == callerCount);
}

struct TimeoutRow
{
    const char *name_;
    std::string bytes_;
    std::string answer_; ///< beginning of the answer; empty: none
};

std::ostream &operator<<(std::ostream &out, const TimeoutRow &item)
{
    return out << item.name_;
}

const TimeoutRow timeoutRows[] = {
    {"no byte of a request", "", ""},
    {"part of a head", request.substr(0, 10), "HTTP/1.1 408"},
};

BOOST_DATA_TEST_CASE(request_that_is_not_complete_in_time_is_refused_as_not_run,
                     data::make(timeoutRows), item)
{
    Fixture fixture(milliseconds(50), milliseconds(50));
    Caller caller(fixture.port_);
    caller.send(item.bytes_);
    BOOST_TEST(fixture.runUntil([&] {
        caller.receive();
        return caller.closed_;
    }));
    BOOST_TEST(caller.received_.substr(0, item.answer_.size()) == item.answer_);
    BOOST_TEST(caller.received_.empty() == item.answer_.empty());
    BOOST_TEST(fixture.exchanges_.empty());
}

struct HandlerRow
{
    const char *name_;
    bool answersFirst_; ///< the handler answers before it fails
    bool cleanupFails_; ///< the handler cannot give the request up either
    std::string status_;
};

std::ostream &operator<<(std::ostream &out, const HandlerRow &item)
{
    return out << item.name_;
}

const HandlerRow handlerRows[] = {
    {"request given up", false, false, "HTTP/1.1 503"},
    {"request possibly sent to an upstream", false, true, "HTTP/1.1 502"},
    {"answered before the failure", true, false, "HTTP/1.1 200"},
};

BOOST_DATA_TEST_CASE(request_whose_handler_fails_is_answered, data::make(handlerRows), item)
{
    Fixture fixture;
    fixture.onRequest_ = [&](const DirectExchangePointer &exchange) {
        if (item.answersFirst_)
            answerOk(exchange);
        throw std::runtime_error("no such thing");
    };
    fixture.onGone_ = [&] {
        if (item.cleanupFails_)
            throw std::runtime_error("still no such thing");
    };
    Caller caller(fixture.port_);
    caller.send(request);
    BOOST_TEST(fixture.runUntilReceived(caller, item.status_), caller.received_);
    BOOST_TEST(fixture.gone_.size() == 1u);
    fixture.runFor(settleTime);
    BOOST_TEST(fixture.server_.busyConnections() == 0u);
}

} // namespace
