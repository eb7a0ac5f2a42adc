// Tests detail/net/run_client.hpp: answers that belong to no request or to an earlier one, and runs
// that can't be carried out.
#include "chervilspring/detail/net/run_client.hpp"
#include "scripted_upstream.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <stdexcept>

namespace {

using namespace chervilspring;
namespace asio = boost::asio;
namespace data = boost::unit_test::data;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto runTimeout = seconds(5); // a run on the loopback interface takes a few ms
constexpr char idHeader[] = "Request-Id";
constexpr char refusalHeader[] = "Not-Executed";

RunAnswer decodeTestAnswer(const http::response_header<> &head, const std::string &requestId)
{
    RunAnswer answer;
    const std::string_view id = head[idHeader];
    answer.notExecuted_ = head.count(refusalHeader) > 0;
    answer.identified_ = id == requestId;
    answer.matches_ = answer.identified_ || (id.empty() && answer.notExecuted_);
    answer.fromUpstream_ = answer.matches_;
    return answer;
}

const DirectProtocol &testProtocol()
{
    static const DirectProtocol protocol = [] {
        DirectProtocol result{};
        result.isReservedHeader_ = [](std::string_view) { return false; };
        result.runHeaders_ = [](const StartRun &) { return std::vector<HttpHeader>{}; };
        result.decodeAnswer_ = decodeTestAnswer;
        return result;
    }();
    return protocol;
}

std::string answerText(const std::string &status, const std::string &headers,
                       const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string served(const std::string &id)
{
    return answerText("200 OK", std::string(idHeader) + ": " + id + "\r\n", "result of " + id);
}

/// A refusal without an execution; an empty id omits the header.
std::string refused(const std::string &id)
{
    return answerText("503 Service Unavailable",
                      std::string(refusalHeader) + ": 1\r\n"
                          + (id.empty() ? "" : std::string(idHeader) + ": " + id + "\r\n"),
                      "");
}

/// Runs requests at one upstream, one after the other.
struct Fixture
{
    explicit Fixture(ScriptedUpstream::Script script,
                     const DirectProtocol &protocol = testProtocol())
        : upstream_(context_, std::move(script)),
          client_(context_, protocol,
                  RunHandlers{[](const RunStarted &) {},
                              [this](const RunEnded &end) { ends_.push_back(end); }})
    { }

    StartRun makeRun(const std::string &id, bool repeatable)
    {
        StartRun command;
        command.id_ = id;
        command.token_ = ++lastToken_;
        command.attempt_ = 1;
        command.upstream_.name_ = "u";
        command.upstream_.agentAddress_ = "127.0.0.1";
        command.upstream_.agentPort_ = upstream_.port();
        command.remaining_ = seconds(5);
        command.repeatable_ = repeatable;
        return command;
    }

    /// Starts the run of a request and returns the exchange with its caller.
    DirectExchangePointer start(StartRun command, std::string body = {})
    {
        HttpRequest request(http::verb::post, "/", 11);
        request.set(idHeader, command.id_);
        request.body() = std::move(body);
        auto caller = std::make_shared<CallerConnection>(tcp::socket(context_), context_);
        auto exchange = std::make_shared<DirectExchange>(command.token_, std::move(caller),
                                                         std::move(request), true);
        client_.start(std::move(command), exchange);
        return exchange;
    }

    /// Runs a request and returns how often its end was reported; ended_ holds the last end.
    std::size_t run(StartRun command, std::string body = {})
    {
        const std::size_t endsBefore = ends_.size();
        start(std::move(command), std::move(body));
        const auto until = std::chrono::steady_clock::now() + runTimeout;
        while (ends_.size() == endsBefore && std::chrono::steady_clock::now() < until)
            context_.run_one_for(milliseconds(50));
        settle();
        return ends_.size() - endsBefore;
    }

    /// Lets the upstream and the client handle what is under way.
    void settle() { context_.run_for(milliseconds(20)); }

    const RunEnded &lastEnd() const { return ends_.back(); }

    asio::io_context context_;
    ScriptedUpstream upstream_;
    std::vector<RunEnded> ends_;
    RunClient client_;
    std::uint64_t lastToken_ = 0;
};

bool isPossibleExecution(const RunEnded &end)
{
    return end.end_ == RunEnd::Failed || end.end_ == RunEnd::TimedOut || end.end_ == RunEnd::Broken;
}

BOOST_AUTO_TEST_CASE(caller_that_leaves_without_an_answer_closes_the_idle_connections)
{
    Fixture fixture([](int, const ScriptedUpstream::Request &request) {
        const std::string id(request[idHeader]);
        return id == "unanswered" ? std::string("HTTP/1.1 ") : served(id);
    });
    fixture.start(fixture.makeRun("first", true));
    fixture.start(fixture.makeRun("second", true));
    fixture.settle();
    BOOST_REQUIRE(fixture.ends_.size() == 2u);
    const StartRun unanswered = fixture.makeRun("unanswered", true);
    const DirectExchangePointer exchange = fixture.start(unanswered);
    fixture.settle();
    BOOST_REQUIRE(fixture.upstream_.connections() == 2);
    exchange->onCallerGone();
    fixture.client_.stop(unanswered.token_, unanswered.attempt_);
    BOOST_TEST(fixture.run(fixture.makeRun("last", true)) == 1u);
    BOOST_TEST(fixture.upstream_.connections() == 3);
}

struct ExtraAnswerRow
{
    const char *description_;
    std::string extraAnswer_; ///< belongs to no request
};

std::ostream &operator<<(std::ostream &stream, const ExtraAnswerRow &row)
{
    return stream << row.description_;
}

const ExtraAnswerRow extraAnswerTable[] = {
    {"refusal without an id", refused("")},
    {"refusal of the earlier request", refused("first")},
    {"repeated answer of the earlier request", served("first")},
    {"bytes that are no answer", "garbage\r\n\r\n"},
};

BOOST_DATA_TEST_CASE(bytes_on_an_idle_connection_are_not_read_as_the_next_answer,
                     data::make(extraAnswerTable), row)
{
    Fixture fixture([](int, const ScriptedUpstream::Request &request) {
        return served(std::string(request[idHeader]));
    });
    BOOST_REQUIRE(fixture.run(fixture.makeRun("first", true)) == 1u);
    BOOST_REQUIRE((fixture.lastEnd().end_ == RunEnd::Held));
    fixture.upstream_.writeUnasked(row.extraAnswer_);
    fixture.settle();
    BOOST_REQUIRE(fixture.run(fixture.makeRun("second", true)) == 1u);
    BOOST_TEST((fixture.lastEnd().end_ == RunEnd::Held), fixture.lastEnd().detail_);
    BOOST_TEST(fixture.upstream_.connections() == 2);
    BOOST_TEST(fixture.upstream_.requests() == 2);
}

// The extra answer arrives after the second request was written, ahead of its true answer.
BOOST_DATA_TEST_CASE(extra_answer_ahead_of_the_true_one_counts_as_a_possible_execution,
                     data::make(extraAnswerTable), row)
{
    Fixture fixture([&](int number, const ScriptedUpstream::Request &request) {
        return (number == 2 ? row.extraAnswer_ : "") + served(std::string(request[idHeader]));
    });
    BOOST_REQUIRE(fixture.run(fixture.makeRun("first", true)) == 1u);
    BOOST_REQUIRE(fixture.run(fixture.makeRun("second", true)) == 1u);
    BOOST_REQUIRE(fixture.upstream_.connections() == 1);
    BOOST_TEST(isPossibleExecution(fixture.lastEnd()), fixture.lastEnd().detail_);
    // The connection, on which the true answer is still to be read, is not used again.
    BOOST_REQUIRE(fixture.run(fixture.makeRun("third", true)) == 1u);
    BOOST_TEST((fixture.lastEnd().end_ == RunEnd::Held), fixture.lastEnd().detail_);
    BOOST_TEST(fixture.upstream_.connections() == 2);
}

struct RefusalRow
{
    const char *description_;
    bool repeatable_;
    std::string answer_; ///< answer to the first request on a new connection
    RunEnd expected_;
};

std::ostream &operator<<(std::ostream &stream, const RefusalRow &row)
{
    return stream << row.description_;
}

const RefusalRow refusalTable[] = {
    {"refusal with the id", false, refused("first"), RunEnd::NotExecuted},
    {"refusal without an id", false, refused(""), RunEnd::NotExecuted},
    {"refusal of another request", false, refused("other"), RunEnd::Failed},
    {"refusal with the id, repeatable", true, refused("first"), RunEnd::NotExecuted},
    {"refusal without an id, repeatable", true, refused(""), RunEnd::NotExecuted},
};

BOOST_DATA_TEST_CASE(first_answer_on_a_new_connection_may_refuse_without_an_id,
                     data::make(refusalTable), row)
{
    Fixture fixture([&](int, const ScriptedUpstream::Request &) { return row.answer_; });
    BOOST_REQUIRE(fixture.run(fixture.makeRun("first", row.repeatable_)) == 1u);
    BOOST_TEST((fixture.lastEnd().end_ == row.expected_), fixture.lastEnd().detail_);
    // A connection on which a request was refused is not used again.
    fixture.run(fixture.makeRun("second", true));
    BOOST_TEST(fixture.upstream_.connections() == 2);
}

BOOST_AUTO_TEST_CASE(request_that_must_not_run_twice_takes_a_new_connection)
{
    Fixture fixture([](int, const ScriptedUpstream::Request &request) {
        return served(std::string(request[idHeader]));
    });
    BOOST_REQUIRE(fixture.run(fixture.makeRun("first", true)) == 1u);
    BOOST_REQUIRE(fixture.run(fixture.makeRun("second", false)) == 1u);
    BOOST_TEST((fixture.lastEnd().end_ == RunEnd::Held));
    BOOST_TEST(fixture.upstream_.connections() == 2);
    // Its own connection isn't kept either.
    BOOST_REQUIRE(fixture.run(fixture.makeRun("third", false)) == 1u);
    BOOST_TEST(fixture.upstream_.connections() == 3);
}

struct ResendRow
{
    const char *description_;
    bool listening_; ///< the upstream accepts the second connection
    std::string secondAnswer_; ///< answer on the second connection
    RunEnd expected_;
};

std::ostream &operator<<(std::ostream &stream, const ResendRow &row)
{
    return stream << row.description_;
}

const ResendRow resendTable[] = {
    {"served", true, served("second"), RunEnd::Held},
    {"refused", true, refused("second"), RunEnd::Failed},
    {"refused without an id", true, refused(""), RunEnd::Failed},
    {"no connection", false, "", RunEnd::Failed},
};

// The upstream reads the second request on the kept connection, where it may run, and closes the
// connection without an answer.
BOOST_DATA_TEST_CASE(request_resent_after_a_broken_kept_connection_may_have_run,
                     data::make(resendTable), row)
{
    Fixture fixture([&](int number, const ScriptedUpstream::Request &request) {
        if (number == 2)
            return std::string();
        return number == 1 ? served(std::string(request[idHeader])) : row.secondAnswer_;
    });
    BOOST_REQUIRE(fixture.run(fixture.makeRun("first", true)) == 1u);
    if (!row.listening_)
        fixture.upstream_.stopListening();
    BOOST_REQUIRE(fixture.run(fixture.makeRun("second", true)) == 1u);
    BOOST_TEST(fixture.upstream_.requests() == (row.listening_ ? 3 : 2));
    BOOST_TEST((fixture.lastEnd().end_ == row.expected_), fixture.lastEnd().detail_);
}

struct ExceptionRow
{
    const char *description_;
    const char *address_; ///< address of the upstream
    void (*alter_)(DirectProtocol &protocol); ///< makes a step of the protocol throw
    RunEnd expected_;
};

std::ostream &operator<<(std::ostream &stream, const ExceptionRow &row)
{
    return stream << row.description_;
}

const ExceptionRow exceptionTable[] = {
    {"address that is no IP address", "no address", [](DirectProtocol &) {}, RunEnd::NotSent},
    {"exception before the request is sent", "127.0.0.1",
     [](DirectProtocol &protocol) {
         protocol.runHeaders_ = [](const StartRun &) -> std::vector<HttpHeader> {
             throw std::runtime_error("no headers");
         };
     },
     RunEnd::NotSent},
    {"exception after the request was sent", "127.0.0.1",
     [](DirectProtocol &protocol) {
         protocol.decodeAnswer_ = [](const http::response_header<> &,
                                     const std::string &) -> RunAnswer {
             throw std::runtime_error("no answer");
         };
     },
     RunEnd::Failed},
};

BOOST_DATA_TEST_CASE(run_that_throws_ends_exactly_once, data::make(exceptionTable), row)
{
    DirectProtocol protocol = testProtocol();
    row.alter_(protocol);
    Fixture fixture(
        [](int, const ScriptedUpstream::Request &request) {
            return served(std::string(request[idHeader]));
        },
        protocol);
    StartRun command = fixture.makeRun("first", false);
    command.upstream_.agentAddress_ = row.address_;
    BOOST_REQUIRE(fixture.run(command) == 1u);
    BOOST_TEST((fixture.lastEnd().end_ == row.expected_), fixture.lastEnd().detail_);
    BOOST_TEST(fixture.lastEnd().token_ == command.token_);
    BOOST_TEST(fixture.lastEnd().attempt_ == command.attempt_);
}

BOOST_AUTO_TEST_CASE(probe_of_an_address_that_is_no_ip_address_reports_unreachable)
{
    Fixture fixture([](int, const ScriptedUpstream::Request &) { return std::string("unused"); });
    Upstream upstream;
    upstream.agentAddress_ = "no address";
    std::vector<bool> results;
    fixture.client_.probe(upstream, [&](bool reachable) { results.push_back(reachable); });
    fixture.settle();
    BOOST_TEST((results == std::vector<bool>{false}));
}

// Answers as soon as it has read some bytes of a request, and reads on.
asio::awaitable<void> answerEarly(tcp::acceptor &acceptor, std::string answer)
{
    while (true) {
        tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        std::string buffer(4096, '\0');
        boost::system::error_code error;
        co_await socket.async_read_some(asio::buffer(buffer),
                                        asio::redirect_error(asio::use_awaitable, error));
        co_await asio::async_write(socket, asio::buffer(answer),
                                   asio::redirect_error(asio::use_awaitable, error));
        while (!error)
            co_await socket.async_read_some(asio::buffer(buffer),
                                            asio::redirect_error(asio::use_awaitable, error));
    }
}

// The connection is closed while the body is still being written.
BOOST_DATA_TEST_CASE(early_refusal_ends_the_run_while_its_long_body_is_written,
                     data::make({70, 200, 500, 4000}), kilobytes)
{
    Fixture fixture([](int, const ScriptedUpstream::Request &) { return std::string("unused"); });
    tcp::acceptor acceptor(fixture.context_, {asio::ip::make_address("127.0.0.1"), 0});
    asio::co_spawn(fixture.context_, answerEarly(acceptor, refused("first")), asio::detached);
    StartRun command = fixture.makeRun("first", false);
    command.upstream_.agentPort_ = acceptor.local_endpoint().port();
    BOOST_REQUIRE(fixture.run(command, std::string(1000u * kilobytes, 'b')) == 1u);
    BOOST_TEST((fixture.lastEnd().end_ == RunEnd::NotExecuted), fixture.lastEnd().detail_);
}

} // namespace
