// Tests detail/net/run_client.hpp and detail/net/stage_calls.hpp: answers that are cut at any byte
// of their head or body, by a close or by a reset of the connection.
#include "chervilspring/detail/net/run_client.hpp"
#include "chervilspring/detail/net/stage_calls.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
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

constexpr auto batchTimeout = seconds(10); // a batch on the loopback interface takes some ms
constexpr std::size_t batchSize = 8; // runs at a time; at least so many connections are kept
constexpr std::size_t unreadBodyBytes = 3u << 20; // more than the socket buffers take
constexpr int smallReceiveBuffer = 4096;
constexpr char idHeader[] = "Request-Id";
constexpr char refusalHeader[] = "Not-Executed";
constexpr std::string_view primingPrefix = "whole-";

/// How an upstream ends the connection after the last byte that it writes.
enum class Ending {
    Close,
    Reset,
    CloseUnread, ///< its sending side is closed while the request is still being written
    ResetUnread, ///< reset while the request is still being written
};

std::ostream &operator<<(std::ostream &stream, Ending ending)
{
    static constexpr const char *names[] = {"close", "reset", "close with an unread request",
                                            "reset with an unread request"};
    return stream << names[static_cast<int>(ending)];
}

bool leavesUnread(Ending ending)
{
    return ending == Ending::CloseUnread || ending == Ending::ResetUnread;
}

/// How the end of an answer's body is recognised.
enum class Framing {
    Delimited, ///< by a length or the last chunk, or there is no body
    Channel, ///< by the end of the connection
    ChannelEvents, ///< as Channel, and whole events are needed
};

struct AnswerRow
{
    const char *description_;
    http::verb method_;
    bool streaming_; ///< the route's answers are streams
    std::string head_; ///< without the request id
    std::string body_; ///< as on the wire
    std::string content_; ///< body without framing
    Framing framing_;
    RunEnd end_ = RunEnd::Held; ///< end of a run with the whole answer
};

std::ostream &operator<<(std::ostream &stream, const AnswerRow &row)
{
    return stream << row.description_;
}

const std::string okLine = "HTTP/1.1 200 OK\r\n";
const std::string streamType = "Content-Type: text/event-stream\r\n";
const std::string chunkedCoding = "Transfer-Encoding: chunked\r\n";
const std::string twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

const AnswerRow answerTable[] = {
    {"length", http::verb::post, false, okLine + "Content-Length: 12\r\n", "twelve bytes",
     "twelve bytes", Framing::Delimited},
    {"length of zero", http::verb::post, false, okLine + "Content-Length: 0\r\n", "", "",
     Framing::Delimited},
    {"chunks", http::verb::post, false, okLine + chunkedCoding,
     "6\r\ntwelve\r\n6;ext=1\r\n bytes\r\n0\r\nSum: 1\r\n\r\n", "twelve bytes", Framing::Delimited},
    {"no length", http::verb::post, false, okLine, "twelve bytes", "twelve bytes",
     Framing::Channel},
    {"no length, HTTP/1.0", http::verb::post, false, "HTTP/1.0 200 OK\r\n", "twelve bytes",
     "twelve bytes", Framing::Channel},
    {"no body, status 204", http::verb::post, false, "HTTP/1.1 204 No Content\r\n", "", "",
     Framing::Delimited},
    {"no body, status 304", http::verb::get, false,
     "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n", "", "", Framing::Delimited},
    {"no body, HEAD", http::verb::head, false, okLine + "Content-Length: 12\r\n", "", "",
     Framing::Delimited},
    {"stream with a length", http::verb::post, true, okLine + streamType + "Content-Length: 30\r\n",
     twoEvents, twoEvents, Framing::Delimited, RunEnd::Delivered},
    {"stream in chunks", http::verb::post, true, okLine + streamType + chunkedCoding,
     "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n", twoEvents,
     Framing::Delimited, RunEnd::Delivered},
    {"stream without a length", http::verb::post, true, okLine + streamType, twoEvents, twoEvents,
     Framing::ChannelEvents, RunEnd::Delivered},
};

/// Where an upstream stops in its answer.
struct Cut
{
    std::size_t offset_ = 0; ///< bytes that it writes
    int requests_ = 0; ///< requests that ended there
};

/// Answers the request with id N with the bytes up to the cut N and ends the connection. Answers
/// requests whose id starts with primingPrefix in full and keeps the connection.
class CutUpstream
{
public:
    CutUpstream(asio::io_context &context, Ending ending)
        : context_(context), acceptor_(context), ending_(ending)
    {
        const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), 0);
        acceptor_.open(endpoint.protocol());
        if (leavesUnread(ending))
            acceptor_.set_option(asio::socket_base::receive_buffer_size(smallReceiveBuffer));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        asio::co_spawn(context_, acceptLoop(), asio::detached);
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    std::vector<Cut> cuts_;
    std::function<std::string(const std::string &id)> answer_; ///< whole answer to a request
    std::string primingBody_; ///< body of the whole answers that keep the connection
    int connections_ = 0; ///< number of accepted connections

private:
    asio::awaitable<void> acceptLoop()
    {
        while (true) {
            auto socket =
                std::make_shared<tcp::socket>(co_await acceptor_.async_accept(use_awaitable));
            ++connections_;
            asio::co_spawn(context_, serve(socket), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        boost::beast::flat_buffer buffer;
        bool open = true;
        while (open) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(boost::none);
            co_await http::async_read_header(*socket, buffer, parser, use_awaitable);
            const std::string id(parser.get()[idHeader]);
            const bool whole = id.starts_with(primingPrefix);
            if (whole || !leavesUnread(ending_))
                co_await http::async_read(*socket, buffer, parser, use_awaitable);
            std::string bytes = whole ? okLine + idHeader + ": " + id + "\r\nContent-Length: "
                    + std::to_string(primingBody_.size()) + "\r\n\r\n" + primingBody_
                                      : answer_(id);
            open = whole;
            if (!whole) {
                Cut &cut = cuts_[std::stoul(id)];
                ++cut.requests_;
                bytes.resize(cut.offset_);
            }
            co_await asio::async_write(*socket, asio::buffer(bytes), use_awaitable);
        }
        if (ending_ == Ending::CloseUnread) {
            socket->shutdown(tcp::socket::shutdown_send);
            halfClosed_.push_back(socket);
            co_return;
        }
        if (ending_ != Ending::Close)
            socket->set_option(asio::socket_base::linger(true, 0));
        socket->close();
    }

    asio::io_context &context_;
    tcp::acceptor acceptor_;
    Ending ending_;
    std::vector<std::shared_ptr<tcp::socket>> halfClosed_; ///< stay open, see CloseUnread
};

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

HttpCall encodeTestCall(const StartStageCall &call)
{
    HttpCall request;
    request.address_ = call.upstream_.agentAddress_;
    request.port_ = call.upstream_.agentPort_;
    request.target_ = "/";
    request.headers_ = {{idHeader, call.upstream_.name_}};
    return request;
}

StageCallEnded decodeTestCall(const StartStageCall &call, const HttpCallResult &result)
{
    StageCallEnded ended;
    ended.call_ = call.call_;
    ended.detail_ = result.end_ == HttpCallEnd::Answered ? result.body_ : result.detail_;
    if (result.end_ == HttpCallEnd::Answered)
        ended.end_ = result.status_ == 200 ? StageCallEnd::Done : StageCallEnd::Refused;
    if (ended.end_ == StageCallEnd::Done)
        ended.items_ = {StageItemResult{"result", ItemFailure::None}};
    if (result.end_ == HttpCallEnd::Unreachable)
        ended.end_ = StageCallEnd::Unreachable;
    return ended;
}

const DirectProtocol &testProtocol()
{
    static const DirectProtocol protocol = [] {
        DirectProtocol result{};
        result.isReservedHeader_ = [](std::string_view) { return false; };
        result.runHeaders_ = [](const StartRun &) { return std::vector<HttpHeader>{}; };
        result.decodeAnswer_ = decodeTestAnswer;
        result.encodeStageCall_ = encodeTestCall;
        result.decodeStageCall_ = decodeTestCall;
        return result;
    }();
    return protocol;
}

/// Runs a context until a condition holds. Returns false after a timeout.
template<typename Condition> bool runUntil(asio::io_context &context, Condition condition)
{
    const auto until = std::chrono::steady_clock::now() + batchTimeout;
    while (!condition() && std::chrono::steady_clock::now() < until)
        context.run_one_for(milliseconds(50));
    return condition();
}

/// A request and what its caller received.
struct CutRun
{
    explicit CutRun(asio::io_context &context) : caller_(context) { }

    tcp::socket caller_; ///< the caller's end of its connection
    DirectExchangePointer exchange_;
    std::uint64_t token_ = 0;
    std::vector<RunEnded> ends_;
    std::string received_;
    bool closed_ = false; ///< the caller's connection was closed
};

using CutRunPointer = std::shared_ptr<CutRun>;

asio::awaitable<void> receive(CutRunPointer run)
{
    boost::system::error_code error;
    co_await asio::async_read(run->caller_, asio::dynamic_buffer(run->received_),
                              asio::redirect_error(use_awaitable, error));
    run->closed_ = true;
}

/// Runs requests at one upstream, several at a time.
struct Fixture
{
    Fixture(Ending ending, http::verb method)
        : upstream_(context_, ending), method_(method),
          body_(leavesUnread(ending) ? unreadBodyBytes : 1, 'b'),
          client_(context_, testProtocol(),
                  RunHandlers{[](const RunStarted &) {},
                              [this](const RunEnded &end) { onEnded(end); },
                              [](const RunSilent &) {}})
    { }

    void onEnded(const RunEnded &end)
    {
        ++ends_;
        for (const CutRunPointer &run : runs_)
            if (run->token_ == end.token_)
                run->ends_.push_back(end);
    }

    void start(const std::string &id, bool repeatable, bool streaming)
    {
        auto run = std::make_shared<CutRun>(context_);
        StartRun command;
        command.id_ = id;
        command.token_ = run->token_ = ++lastToken_;
        command.attempt_ = 1;
        command.upstream_.name_ = "u";
        command.upstream_.agentAddress_ = "127.0.0.1";
        command.upstream_.agentPort_ = upstream_.port();
        command.remaining_ = seconds(5);
        command.repeatable_ = repeatable;
        command.streaming_ = streaming;
        HttpRequest request(method_, "/", 11);
        request.set(idHeader, id);
        request.body() = id.starts_with(primingPrefix) ? "b" : body_;
        run->caller_.connect(callers_.local_endpoint());
        auto connection = std::make_shared<CallerConnection>(callers_.accept(), context_);
        run->exchange_ = std::make_shared<DirectExchange>(run->token_, std::move(connection),
                                                          std::move(request), false);
        runs_.push_back(run);
        asio::co_spawn(context_, receive(run), asio::detached);
        client_.start(std::move(command), run->exchange_);
    }

    /// Waits for the ends of all runs and for what their callers receive.
    bool finish()
    {
        if (!runUntil(context_, [&] { return ends_ == runs_.size(); }))
            return false;
        for (const CutRunPointer &run : runs_) {
            const bool held = !run->ends_.empty() && run->ends_.back().end_ == RunEnd::Held;
            if (held)
                client_.deliver(run->token_, 1, run->exchange_);
            else if (!run->exchange_->ended())
                run->exchange_->abort();
        }
        return runUntil(context_, [&] {
            return std::all_of(runs_.begin(), runs_.end(),
                               [](const CutRunPointer &run) { return run->closed_; });
        });
    }

    void clear()
    {
        runs_.clear();
        ends_ = 0;
    }

    asio::io_context context_;
    CutUpstream upstream_;
    http::verb method_;
    std::string body_; ///< of the requests whose answers are cut
    tcp::acceptor callers_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
    std::vector<CutRunPointer> runs_;
    std::size_t ends_ = 0; ///< reported ends of runs_
    RunClient client_;
    std::uint64_t lastToken_ = 0;
};

/// The answer that a caller received, if its framing says that it is whole.
std::optional<http::response<http::string_body>> wholeAnswer(const CutRun &run, http::verb method)
{
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.skip(method == http::verb::head);
    boost::system::error_code error;
    if (!run.received_.empty())
        parser.put(asio::buffer(run.received_), error);
    if (error || !parser.is_done())
        return std::nullopt;
    return parser.release();
}

std::string answerTo(const AnswerRow &row, const std::string &id)
{
    return row.head_ + idHeader + ": " + id + "\r\n\r\n" + row.body_;
}

/// The content up to a cut if the protocol says that it is whole, else nothing.
std::optional<std::string> wholeContent(const AnswerRow &row, Ending ending, std::size_t offset,
                                        std::size_t total)
{
    const std::size_t headSize = total - row.body_.size();
    if (offset < headSize)
        return std::nullopt;
    if (row.framing_ == Framing::Delimited)
        return offset == total ? std::optional(row.content_) : std::nullopt;
    if (ending != Ending::Close)
        return std::nullopt;
    const std::string content = row.body_.substr(0, offset - headSize);
    const bool endsInEvent = !content.empty() && !content.ends_with("\n\n");
    if (row.framing_ == Framing::ChannelEvents && endsInEvent)
        return std::nullopt;
    return content;
}

bool isPossibleExecution(const RunEnded &end)
{
    return end.end_ == RunEnd::Failed || end.end_ == RunEnd::Broken;
}

void checkRun(const AnswerRow &row, const CutRun &run, const std::optional<std::string> &expected)
{
    BOOST_REQUIRE(run.ends_.size() == 1u);
    const RunEnded &end = run.ends_.back();
    const auto received = wholeAnswer(run, row.method_);
    if (!expected) {
        BOOST_TEST(isPossibleExecution(end), "end " << static_cast<int>(end.end_));
        BOOST_TEST(!received, "the caller received a whole answer: " << run.received_);
        return;
    }
    BOOST_TEST((end.end_ == row.end_), end.detail_);
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST(received->body() == *expected);
}

void checkCuts(const AnswerRow &row, Ending ending, bool kept,
               std::optional<std::size_t> bodyBytes = std::nullopt)
{
    Fixture fixture(ending, row.method_);
    if (bodyBytes)
        fixture.body_.assign(*bodyBytes, 'b');
    fixture.upstream_.answer_ = [&](const std::string &id) { return answerTo(row, id); };
    std::vector<Cut> &cuts = fixture.upstream_.cuts_;
    const std::size_t total = answerTo(row, "0000").size(); // all ids have four digits
    for (std::size_t offset = 0; offset <= total; ++offset)
        cuts.push_back({offset, 0});
    const auto idOf = [](std::size_t index) {
        const std::string digits = std::to_string(index);
        return std::string(4 - digits.size(), '0') + digits;
    };
    for (std::size_t begin = 0; begin < cuts.size(); begin += batchSize) {
        const std::size_t end = std::min(cuts.size(), begin + batchSize);
        const int connectionsBefore = fixture.upstream_.connections_;
        for (std::size_t i = begin; kept && i < end; ++i)
            fixture.start(std::string(primingPrefix) + idOf(i), true, false);
        BOOST_REQUIRE(fixture.finish());
        fixture.clear();
        for (std::size_t i = begin; i < end; ++i)
            fixture.start(idOf(i), kept, row.streaming_);
        BOOST_REQUIRE(fixture.finish());
        // Only without a byte of an answer the request is sent again.
        const int resent = kept && begin == 0 ? 1 : 0;
        BOOST_TEST(fixture.upstream_.connections_ - connectionsBefore
                   == static_cast<int>(end - begin) + resent);
        for (std::size_t i = begin; i < end; ++i) {
            BOOST_TEST_CONTEXT("cut after " << cuts[i].offset_ << " of " << total << " bytes")
            {
                BOOST_TEST(cuts[i].requests_ == (i == 0 ? 1 + resent : 1));
                checkRun(row, *fixture.runs_[i - begin],
                         wholeContent(row, ending, cuts[i].offset_, total));
            }
        }
        fixture.clear();
    }
}

const Ending endingTable[] = {Ending::Close, Ending::Reset};

BOOST_DATA_TEST_CASE(cut_answer_on_a_new_connection_is_not_delivered_as_a_whole_one,
                     data::make(answerTable) * data::make(endingTable), row, ending)
{
    checkCuts(row, ending, false);
}

BOOST_DATA_TEST_CASE(cut_answer_on_a_kept_connection_is_not_delivered_as_a_whole_one,
                     data::make(answerTable) * data::make(endingTable), row, ending)
{
    checkCuts(row, ending, true);
}

const AnswerRow unreadTable[] = {answerTable[0], answerTable[2], answerTable[3], answerTable[10]};
const Ending unreadEndingTable[] = {Ending::CloseUnread, Ending::ResetUnread};

// A reset may be reported by the write that it interrupts, and not by the read.
BOOST_DATA_TEST_CASE(answer_cut_before_its_long_request_is_written_is_not_delivered_as_a_whole_one,
                     data::make(unreadTable) * data::make(unreadEndingTable)
                         * data::make({false, true}),
                     row, ending, kept)
{
    checkCuts(row, ending, kept);
}

// Guards against a reset that is taken for the end of an answer without a length: the system may
// have taken the request whole, while the upstream has read hardly any of it.
BOOST_DATA_TEST_CASE(answer_reset_before_its_request_is_read_is_not_delivered_as_a_whole_one,
                     data::make({answerTable[3], answerTable[4], answerTable[10]})
                         * data::make({8u << 10, 64u << 10, 256u << 10, 1u << 20}),
                     row, bodyBytes)
{
    checkCuts(row, Ending::ResetUnread, false, bodyBytes);
}

// The caller may send a request again elsewhere only if it was not executed.
BOOST_DATA_TEST_CASE(refusal_with_a_cut_head_counts_as_a_possible_execution,
                     data::make(endingTable), ending)
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n" + std::string(refusalHeader)
        + ": 1\r\nContent-Length: 0\r\n\r\n";
    Fixture fixture(ending, http::verb::post);
    fixture.upstream_.answer_ = [&](const std::string &) { return refusal; };
    for (std::size_t offset = 0; offset <= refusal.size(); ++offset)
        fixture.upstream_.cuts_.push_back({offset, 0});
    for (std::size_t offset = 0; offset <= refusal.size(); ++offset) {
        fixture.start(std::to_string(offset), false, false);
        BOOST_REQUIRE(fixture.finish());
        BOOST_REQUIRE(fixture.runs_[0]->ends_.size() == 1u);
        const RunEnded &end = fixture.runs_[0]->ends_[0];
        BOOST_TEST(((offset == refusal.size()) ? end.end_ == RunEnd::NotExecuted
                                               : isPossibleExecution(end)),
                   "cut after " << offset << " bytes: end " << static_cast<int>(end.end_));
        // An upstream that ends within a head had begun to answer the request.
        if (offset < refusal.size())
            BOOST_TEST(end.responseBegun_ == (offset > 0), "cut after " << offset << " bytes");
        fixture.clear();
    }
}

struct InterimRow
{
    const char *description_;
    std::string head_; ///< of the interim answer
};

std::ostream &operator<<(std::ostream &stream, const InterimRow &row)
{
    return stream << row.description_;
}

const InterimRow interimTable[] = {
    {"100", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"103", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
    {"103 with the request id", "HTTP/1.1 103 Early Hints\r\nRequest-Id: 0\r\n\r\n"},
};

// What follows an interim answer may be cut, or be the answer to the request.
BOOST_DATA_TEST_CASE(interim_answer_is_not_delivered_as_the_final_one,
                     data::make(interimTable) * data::make(endingTable), row, ending)
{
    const std::string answer = row.head_ + answerTo(answerTable[0], "0");
    for (std::size_t offset = row.head_.size(); offset <= answer.size(); ++offset) {
        Fixture fixture(ending, http::verb::post);
        fixture.upstream_.answer_ = [&](const std::string &) { return answer; };
        fixture.upstream_.cuts_.push_back({offset, 0});
        fixture.start("0", true, false);
        BOOST_REQUIRE(fixture.finish());
        const CutRun &run = *fixture.runs_[0];
        BOOST_REQUIRE(run.ends_.size() == 1u);
        BOOST_TEST(isPossibleExecution(run.ends_[0]),
                   "cut after " << offset << " bytes: end " << static_cast<int>(run.ends_[0].end_)
                                << run.received_);
    }
}

struct InvalidStatusRow
{
    const char *description_;
    std::string statusLine_;
};

std::ostream &operator<<(std::ostream &stream, const InvalidStatusRow &row)
{
    return stream << row.description_;
}

const InvalidStatusRow invalidStatusTable[] = {
    {"000", "HTTP/1.1 000 OK\r\n"},
    {"000 without a reason", "HTTP/1.1 000 \r\n"},
    {"099", "HTTP/1.1 099 OK\r\n"},
    {"three letters", "HTTP/1.1 2OO OK\r\n"},
    {"two digits", "HTTP/1.1 20 OK\r\n"},
    {"four digits", "HTTP/1.1 2000 OK\r\n"},
    {"none", "HTTP/1.1\r\n"},
};
const std::string invalidStatusBodies[] = {
    "Content-Length: 4\r\n\r\nbody",
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "Content-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\ndata: a\n\n\n",
    "\r\nbody",
};

// Guards against an answer without a valid status being passed on to the caller.
BOOST_DATA_TEST_CASE(answer_with_an_invalid_status_is_not_delivered,
                     data::make(invalidStatusTable) * data::make(invalidStatusBodies)
                         * data::make({false, true}),
                     row, body, streaming)
{
    const std::string answer = row.statusLine_ + idHeader + ": 0\r\n" + body;
    Fixture fixture(Ending::Close, http::verb::post);
    fixture.upstream_.answer_ = [&](const std::string &) { return answer; };
    fixture.upstream_.cuts_.push_back({answer.size(), 0});
    fixture.start("0", false, streaming);
    BOOST_REQUIRE(fixture.finish());
    const CutRun &run = *fixture.runs_[0];
    BOOST_REQUIRE(run.ends_.size() == 1u);
    BOOST_TEST(isPossibleExecution(run.ends_[0]), "end " << static_cast<int>(run.ends_[0].end_));
    BOOST_TEST(run.received_.empty(), run.received_);
}

StageCallEnded callStage(asio::io_context &context, HttpClient &client, std::uint16_t port,
                         const std::string &id)
{
    StartStageCall call;
    call.call_ = 7;
    call.upstream_.name_ = id;
    call.upstream_.agentAddress_ = "127.0.0.1";
    call.upstream_.agentPort_ = port;
    call.limit_ = seconds(2);
    std::optional<StageCallEnded> ended;
    asio::co_spawn(context, performStageCall(client, testProtocol(), std::move(call)),
                   [&](const std::exception_ptr &exception, const StageCallEnded &result) {
                       BOOST_TEST(!exception);
                       ended = result;
                   });
    BOOST_REQUIRE(runUntil(context, [&] { return ended.has_value(); }));
    return *ended;
}

void checkStageCuts(const AnswerRow &row, Ending ending, bool kept)
{
    asio::io_context context;
    CutUpstream upstream(context, ending);
    HttpClient client(context);
    upstream.answer_ = [&](const std::string &) { return answerTo(row, "0"); };
    upstream.primingBody_ = "primed"; // answers to stage calls differ from each other
    const std::size_t total = answerTo(row, "0").size();
    for (std::size_t offset = 0; offset <= total; ++offset)
        upstream.cuts_.push_back({offset, 0});
    for (std::size_t offset = 0; offset <= total; ++offset) {
        BOOST_TEST_CONTEXT("cut after " << offset << " of " << total << " bytes")
        {
            if (kept) {
                const std::string whole = std::string(primingPrefix) + std::to_string(offset);
                const StageCallEnded primed = callStage(context, client, upstream.port(), whole);
                BOOST_REQUIRE((primed.end_ == StageCallEnd::Done));
            }
            const StageCallEnded ended =
                callStage(context, client, upstream.port(), std::to_string(offset));
            const bool resent = kept && offset == 0;
            BOOST_TEST(upstream.cuts_[offset].requests_ == (resent ? 2 : 1));
            const auto expected = wholeContent(row, ending, offset, total);
            BOOST_TEST((ended.end_ == (expected ? StageCallEnd::Done : StageCallEnd::Failed)),
                       "end " << static_cast<int>(ended.end_) << ", " << ended.detail_);
            if (expected)
                BOOST_TEST(ended.detail_ == *expected);
        }
    }
}

const AnswerRow stageAnswerTable[] = {answerTable[0], answerTable[1], answerTable[2],
                                      answerTable[3]};
const Ending stageEndingTable[] = {Ending::Close, Ending::Reset};

BOOST_DATA_TEST_CASE(stage_call_with_a_cut_answer_on_a_new_connection_is_not_done,
                     data::make(stageAnswerTable) * data::make(stageEndingTable), row, ending)
{
    checkStageCuts(row, ending, false);
}

BOOST_DATA_TEST_CASE(stage_call_with_a_cut_answer_on_a_kept_connection_is_not_done,
                     data::make(stageAnswerTable) * data::make(stageEndingTable), row, ending)
{
    checkStageCuts(row, ending, true);
}

struct UnreadCallRow
{
    Ending ending_;
    std::size_t bodyBytes_; ///< of the request
};

std::ostream &operator<<(std::ostream &stream, const UnreadCallRow &row)
{
    return stream << row.ending_ << ", " << row.bodyBytes_ << " bytes";
}

const UnreadCallRow unreadCallTable[] = {
    {Ending::CloseUnread, unreadBodyBytes},
    {Ending::ResetUnread, unreadBodyBytes},
    {Ending::ResetUnread, 64u << 10}, // taken whole by the system
};

// The same for calls whose request is written before the answer is read.
BOOST_DATA_TEST_CASE(call_is_not_answered_if_its_request_is_not_read,
                     data::make(unreadTable) * data::make(unreadCallTable), row, unread)
{
    asio::io_context context;
    CutUpstream upstream(context, unread.ending_);
    HttpClient client(context);
    upstream.answer_ = [&](const std::string &) { return answerTo(row, "0"); };
    const std::size_t total = answerTo(row, "0").size();
    upstream.cuts_.push_back({total - row.body_.size() / 2, 0});
    HttpCall call;
    call.address_ = "127.0.0.1";
    call.port_ = upstream.port();
    call.target_ = "/";
    call.headers_ = {{idHeader, "0"}};
    call.body_.assign(unread.bodyBytes_, 'b');
    call.limit_ = seconds(1);
    std::optional<HttpCallResult> result;
    asio::co_spawn(context, client.perform(call, {}),
                   [&](std::exception_ptr, HttpCallResult ended) { result = std::move(ended); });
    BOOST_REQUIRE(runUntil(context, [&] { return result.has_value(); }));
    BOOST_TEST((result->end_ != HttpCallEnd::Answered), result->body_);
}

} // namespace
