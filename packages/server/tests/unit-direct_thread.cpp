// Tests detail/process/direct_thread.hpp with timed upstreams: responses that break off after
// they have begun, resumed streams, silent upstreams and callers that read slowly.
#include "chervilspring/detail/control/fleet_state.hpp"
#include "chervilspring/detail/process/direct_thread.hpp"
#include "test_caller.hpp"
#include "timed_upstream.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;
namespace http = boost::beast::http;

constexpr auto startTimeout = seconds(10);
const std::string request = "GET /stream/x HTTP/1.1\r\nHost: host\r\n\r\n";

DirectProtocol testProtocol()
{
    DirectProtocol protocol{};
    protocol.readyPath_ = "/ready";
    protocol.decodeCall_ = [](const HttpRequest &request) -> leaf::result<DirectCall> {
        DirectCall call;
        call.id_ = "id";
        call.host_ = "host";
        call.path_ = std::string(request.target());
        call.callerTimeout_ = seconds(60);
        return call;
    };
    protocol.isReservedHeader_ = [](std::string_view) { return false; };
    protocol.runHeaders_ = [](const StartRun &run) {
        std::vector<HttpHeader> headers;
        if (!run.lastEventId_.empty())
            headers.push_back({"Last-Event-Id", run.lastEventId_});
        return headers;
    };
    protocol.decodeAnswer_ = [](const http::response_header<> &, const std::string &) {
        RunAnswer answer;
        answer.matches_ = true;
        answer.fromUpstream_ = true;
        return answer;
    };
    return protocol;
}

// Returns a view with the resumable streaming route /stream/ and two names for the same upstream.
View testView(std::uint16_t upstreamPort, std::uint32_t maxAttempts, milliseconds timeout)
{
    View view;
    view.version_ = 7;
    view.fleetVersion_ = 7;
    Pool pool;
    pool.name_ = "plain";
    pool.selector_ = "service = plain";
    view.fleet_.pools_ = {pool};
    RouteSpec route;
    route.name_ = "stream";
    route.host_ = "host";
    route.pathPrefix_ = "/stream/";
    route.kind_ = RouteKind::Streaming;
    route.maxAttempts_ = maxAttempts;
    route.timeout_ = timeout;
    route.objective_ = milliseconds(300);
    route.resumable_ = true;
    route.targets_ = {RouteTarget{"plain", 1}};
    view.fleet_.routes_ = {route};
    for (const char *name : {"upstream-1", "upstream-2"}) {
        Upstream upstream;
        upstream.name_ = name;
        upstream.phase_ = UpstreamPhase::Serving;
        upstream.direct_ = true;
        upstream.agentAddress_ = "127.0.0.1";
        upstream.agentPort_ = upstreamPort;
        upstream.labels_ = {Label{"service", "plain"}};
        view.upstreams_.push_back(upstream);
    }
    return view;
}

Settings entrySettings()
{
    Settings settings;
    settings.role_ = Role::Entry;
    settings.name_ = "e1";
    settings.address_ = "127.0.0.1";
    settings.httpPort_ = findFreePort();
    settings.secret_ = "a-secret-of-this-test";
    settings.control_ = {ControlAddress{"c1", "127.0.0.1", findFreePort()}};
    settings.retryRatio_ = 10;
    settings.retryWindow_ = seconds(10);
    return settings;
}

// An entry whose configuration names a timed upstream, without any other process.
class TestEntry
{
public:
    explicit TestEntry(std::uint16_t upstreamPort, std::uint32_t maxAttempts = 2,
                       milliseconds timeout = seconds(20))
        : settings_(entrySettings()), protocol_(testProtocol()),
          node_(settings_, PeerIdentity{settings_.name_, 1}, NodeCallbacks{}),
          traffic_(settings_, protocol_, node_)
    {
        const View view = testView(upstreamPort, maxAttempts, timeout);
        HeartbeatReply reply;
        reply.update_ = makeFullUpdate(view);
        node_.start();
        traffic_.start();
        node_.post(PeerMessage{"c1", reply});
        const Instant end = BootClock::now() + startTimeout;
        while (node_.publishedView()->view_->version_ != view.version_ && BootClock::now() < end)
            std::this_thread::sleep_for(milliseconds(1));
        BOOST_REQUIRE(node_.publishedView()->view_->version_ == view.version_);
        traffic_.onViewPublished();
    }

    std::uint16_t port() const { return settings_.httpPort_; }

private:
    Settings settings_;
    DirectProtocol protocol_;
    NodeThread node_;
    DirectThread traffic_;
};

std::string event(int id, const std::string &text = "token")
{
    return "id: " + std::to_string(id) + "\ndata: " + text + "\n\n";
}

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += event(id);
    return text;
}

std::string chunk(const std::string &bytes)
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

const std::string streamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string lastChunk = "0\r\n\r\n";

std::string wholeAnswer(const std::string &status, const std::string &type, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: " + type
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A stream that breaks off in the middle of its third event.
TimedAnswer brokenStream()
{
    return TimedAnswer{{{streamHead + chunk(events(1, 2))}, {chunk("id: 3\nda"), milliseconds(20)}},
                       AnswerEnd::Reset};
}

// The end of that stream.
TimedAnswer resumedStream()
{
    return TimedAnswer{{{streamHead + chunk(events(3, 4)) + lastChunk}}};
}

bool hasHeader(const std::string &head, const std::string &line)
{
    return head.find(line + "\r\n") != std::string::npos;
}

struct AnswerRow
{
    const char *name_;
    std::string answer_; ///< of the second run
};

std::ostream &operator<<(std::ostream &stream, const AnswerRow &row)
{
    return stream << row.name_;
}

const AnswerRow wholeAnswers[] = {
    {"server error", wholeAnswer("500 Failed", "text/plain", "error text")},
    {"caller error", wholeAnswer("404 Not Found", "text/plain", "error text")},
    {"server error as events", wholeAnswer("500 Failed", "text/event-stream", events(3, 4))},
    {"success that is no stream", wholeAnswer("200 OK", "application/json", "{}")},
    {"success without a body", "HTTP/1.1 204 No Content\r\n\r\n"},
    {"stream head without events", streamHead + "1"},
};

BOOST_DATA_TEST_CASE(broken_stream_is_cut_if_the_last_run_sends_no_stream, data::make(wholeAnswers),
                     row)
{
    TimedUpstream upstream({brokenStream(), TimedAnswer{{{row.answer_}}, AnswerEnd::Close}});
    TestEntry entry(upstream.port());
    TestCaller caller(entry.port());
    caller.send(request);
    const Received received = caller.receive(seconds(3));
    BOOST_TEST(upstream.requestHeads().size() == 2u);
    BOOST_TEST(received.status_ == 200u);
    BOOST_TEST(received.body_ == events(1, 2));
    BOOST_TEST(received.closed_);
    BOOST_TEST(!received.complete_);
}

BOOST_DATA_TEST_CASE(broken_stream_is_resumed_after_a_run_that_sends_no_stream,
                     data::make(wholeAnswers), row)
{
    TimedUpstream upstream(
        {brokenStream(), TimedAnswer{{{row.answer_}}, AnswerEnd::Close}, resumedStream()});
    TestEntry entry(upstream.port(), 3);
    TestCaller caller(entry.port());
    caller.send(request);
    const Received received = caller.receive(seconds(3));
    const auto heads = upstream.requestHeads();
    BOOST_REQUIRE(heads.size() == 3u);
    BOOST_TEST(hasHeader(heads[2], "Last-Event-Id: 2"));
    BOOST_TEST(received.body_ == events(1, 4));
    BOOST_TEST(received.complete_);
    BOOST_TEST(received.responseBytes_ == received.bytes_.size());
}

struct StreamRow
{
    const char *name_;
    std::string answer_; ///< bytes of the first run
    AnswerEnd end_; ///< what the upstream does after them
    bool resumed_; ///< the stream is broken and continues after event 2
    std::string body_; ///< body that the caller gets
};

std::ostream &operator<<(std::ostream &stream, const StreamRow &row)
{
    return stream << row.name_;
}

std::string lengthHead(std::size_t length)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: "
        + std::to_string(length) + "\r\n\r\n";
}

const std::string openHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
const std::string half = "id: 3\ndata: to";
const std::string unendedEvent = "id: 3\ndata: last";

// How the end of a stream is recognised, and what the caller gets if it is not a whole one.
const StreamRow streamEnds[] = {
    {"chunks, whole", streamHead + chunk(events(1, 4)) + lastChunk, AnswerEnd::KeepOpen, false,
     events(1, 4)},
    {"chunks, closed", streamHead + chunk(events(1, 2)), AnswerEnd::Close, true, events(1, 4)},
    {"chunks, closed in an event", streamHead + chunk(events(1, 2) + half), AnswerEnd::Close, true,
     events(1, 4)},
    {"chunks, reset", streamHead + chunk(events(1, 2)), AnswerEnd::Reset, true, events(1, 4)},
    {"chunks, no bytes of a stream", streamHead + chunk(events(1, 2)) + "HTTP/1.1 500 Failed\r\n",
     AnswerEnd::KeepOpen, true, events(1, 4)},
    {"chunks, last event without an end",
     streamHead + chunk(events(1, 2) + unendedEvent) + lastChunk, AnswerEnd::KeepOpen, false,
     events(1, 2) + unendedEvent},
    {"length, whole", lengthHead(events(1, 4).size()) + events(1, 4), AnswerEnd::KeepOpen, false,
     events(1, 4)},
    {"length, closed", lengthHead(events(1, 4).size()) + events(1, 2), AnswerEnd::Close, true,
     events(1, 4)},
    {"length, closed in an event", lengthHead(events(1, 4).size()) + events(1, 2) + half,
     AnswerEnd::Close, true, events(1, 4)},
    {"length, reset", lengthHead(events(1, 4).size()) + events(1, 2), AnswerEnd::Reset, true,
     events(1, 4)},
    {"no length, whole", openHead + events(1, 4), AnswerEnd::Close, false, events(1, 4)},
    {"no length, reset", openHead + events(1, 2), AnswerEnd::Reset, true, events(1, 4)},
    {"no length, closed in an event", openHead + events(1, 2) + half, AnswerEnd::Close, true,
     events(1, 4)},
    {"event missing", streamHead + chunk(events(1, 2)) + chunk(events(4, 4)) + lastChunk,
     AnswerEnd::KeepOpen, true, events(1, 4)},
    {"event missing in one piece", streamHead + chunk(events(1, 2) + event(4)) + lastChunk,
     AnswerEnd::KeepOpen, true, events(1, 4)},
    {"last event without an end missing",
     streamHead + chunk(events(1, 2) + "id: 4\ndata: last") + lastChunk, AnswerEnd::KeepOpen, true,
     events(1, 4)},
};

// A pause separates the events from the end, so that events are forwarded before the stream ends.
TimedAnswer withPause(const std::string &answer, AnswerEnd end)
{
    const std::size_t split = answer.find(event(2)) + event(2).size();
    return TimedAnswer{{{answer.substr(0, split)}, {answer.substr(split), milliseconds(30)}}, end};
}

BOOST_DATA_TEST_CASE(stream_is_complete_only_if_the_upstream_ended_it, data::make(streamEnds), row)
{
    TimedUpstream upstream({withPause(row.answer_, row.end_), resumedStream()});
    TestEntry entry(upstream.port());
    TestCaller caller(entry.port());
    caller.send(request);
    const Received received = caller.receive(seconds(3));
    const auto heads = upstream.requestHeads();
    BOOST_TEST(heads.size() == (row.resumed_ ? 2u : 1u));
    if (heads.size() == 2)
        BOOST_TEST(hasHeader(heads[1], "Last-Event-Id: 2"));
    BOOST_TEST(received.body_ == row.body_);
    BOOST_TEST(received.complete_);
}

BOOST_DATA_TEST_CASE(stream_that_broke_off_for_good_does_not_look_complete, data::make(streamEnds),
                     row)
{
    TimedUpstream upstream({withPause(row.answer_, row.end_)});
    TestEntry entry(upstream.port(), 1);
    TestCaller caller(entry.port());
    caller.send(request);
    const Received received = caller.receive(seconds(3));
    BOOST_TEST(received.body_ == (row.resumed_ ? events(1, 2) : row.body_));
    BOOST_TEST(received.complete_ == !row.resumed_);
    BOOST_TEST(received.closed_ == row.resumed_);
}

struct ResumedRow
{
    const char *name_;
    std::string resumed_; ///< answer of the second run
    std::string body_; ///< body that the caller gets
    bool complete_;
};

std::ostream &operator<<(std::ostream &stream, const ResumedRow &row)
{
    return stream << row.name_;
}

const ResumedRow resumedAnswers[] = {
    {"from the start", streamHead + chunk(events(1, 4)) + lastChunk, events(1, 4), true},
    {"head with a length", lengthHead(events(3, 4).size()) + events(3, 4), events(1, 4), true},
    {"later than asked", streamHead + chunk(events(4, 5)) + lastChunk, events(1, 2), false},
    {"unended event that the caller has", streamHead + chunk("id: 2\ndata: token") + lastChunk,
     events(1, 2), true},
    {"unended event later than asked", streamHead + chunk("id: 4\ndata: token") + lastChunk,
     events(1, 2), false},
};

BOOST_DATA_TEST_CASE(resumed_stream_continues_after_the_last_event_only, data::make(resumedAnswers),
                     row)
{
    TimedUpstream upstream({brokenStream(), TimedAnswer{{{row.resumed_}}}});
    TestEntry entry(upstream.port());
    TestCaller caller(entry.port());
    caller.send(request);
    const Received received = caller.receive(seconds(3));
    BOOST_TEST(received.body_ == row.body_);
    BOOST_TEST(received.complete_ == row.complete_);
    BOOST_TEST(received.closed_ == !row.complete_);
}

// The events already sent cannot be told from those of another run.
BOOST_AUTO_TEST_CASE(stream_without_event_ids_is_not_resumed)
{
    const std::string text = "data: token\n\n";
    TimedUpstream upstream(
        {TimedAnswer{{{streamHead + chunk(text)}, {"", milliseconds(20)}}, AnswerEnd::Reset},
         TimedAnswer{{{streamHead + chunk(text + text) + lastChunk}}}});
    TestEntry entry(upstream.port());
    TestCaller caller(entry.port());
    caller.send(request);
    const Received received = caller.receive(seconds(3));
    BOOST_TEST(upstream.requestHeads().size() == 1u);
    BOOST_TEST(received.body_ == text);
    BOOST_TEST(received.closed_);
    BOOST_TEST(!received.complete_);
}

// The timeout passes while the first events are still being written.
BOOST_AUTO_TEST_CASE(response_to_a_slow_reader_is_cut_at_the_timeout)
{
    const std::string largeEvent = event(1, std::string(240 << 10, 'x'));
    TimedUpstream upstream({TimedAnswer{{{streamHead + chunk(largeEvent)}}}});
    TestEntry entry(upstream.port(), 1, milliseconds(700));
    TestCaller caller(entry.port(), CallerBuffers::Small);
    caller.send(request);
    std::this_thread::sleep_for(milliseconds(1200));
    const Received received = caller.receive(seconds(3));
    BOOST_TEST(received.status_ == 200u);
    BOOST_TEST(received.closed_);
    BOOST_TEST(!received.complete_);
}

// A byte of a next request keeps the entry from noticing the reset before it writes.
BOOST_AUTO_TEST_CASE(stream_is_not_resumed_for_a_caller_that_has_left)
{
    TimedAnswer stream{{{streamHead + chunk(events(1, 2))}}};
    for (int id = 3; id <= 12; ++id)
        stream.steps_.push_back({chunk(event(id)), milliseconds(50)});
    TimedUpstream upstream({stream, stream});
    TestEntry entry(upstream.port());
    TestCaller caller(entry.port());
    caller.send(request + "G");
    BOOST_TEST(!caller.receive(milliseconds(100)).body_.empty());
    caller.reset();
    std::this_thread::sleep_for(milliseconds(700));
    const std::vector<std::string> log = {"request 1", "closed 1"};
    BOOST_TEST(upstream.connectionLog() == log, boost::test_tools::per_element());
}

struct SilenceRow
{
    milliseconds silence_; ///< between the second and the third event
    std::uint32_t maxAttempts_;
};

std::ostream &operator<<(std::ostream &stream, const SilenceRow &row)
{
    return stream << row.silence_.count() << " ms, attempts " << row.maxAttempts_;
}

const SilenceRow silences[] = {
    {milliseconds(1300), 1}, {milliseconds(1300), 2}, {milliseconds(2500), 1}};

BOOST_DATA_TEST_CASE(silent_upstream_that_goes_on_completes_its_stream, data::make(silences), row)
{
    TimedUpstream upstream({TimedAnswer{
        {{streamHead + chunk(events(1, 2))}, {chunk(events(3, 4)) + lastChunk, row.silence_}}}});
    TestEntry entry(upstream.port(), row.maxAttempts_);
    TestCaller caller(entry.port());
    caller.send(request);
    const Received received = caller.receive();
    BOOST_TEST(upstream.requestHeads().size() == 1u);
    BOOST_TEST(received.body_ == events(1, 4));
    BOOST_TEST(received.complete_);
}

BOOST_AUTO_TEST_CASE(stream_of_a_frozen_upstream_is_resumed_after_its_run_was_stopped)
{
    TimedUpstream upstream({TimedAnswer{{{streamHead + chunk(events(1, 2))}}}, resumedStream()});
    TestEntry entry(upstream.port());
    TestCaller caller(entry.port());
    caller.send(request);
    const Received received = caller.receive();
    const std::vector<std::string> log = {"request 1", "closed 1", "request 2"};
    BOOST_TEST(upstream.connectionLog() == log, boost::test_tools::per_element());
    BOOST_TEST(received.body_ == events(1, 4));
    BOOST_TEST(received.complete_);
}

} // namespace
