// Tests detail/net/stage_calls.hpp: every call to a stage upstream ends with a result.
#include "chervilspring/detail/net/stage_calls.hpp"
#include "scripted_upstream.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <stdexcept>

namespace {

using namespace chervilspring;
namespace asio = boost::asio;
namespace data = boost::unit_test::data;

HttpCall encodeTestCall(const StartStageCall &call)
{
    HttpCall request;
    request.address_ = call.upstream_.agentAddress_;
    request.port_ = call.upstream_.agentPort_;
    request.target_ = "/";
    return request;
}

StageCallEnded decodeTestCall(const StartStageCall &call, const HttpCallResult &result)
{
    StageCallEnded ended;
    ended.call_ = call.call_;
    ended.detail_ = result.body_;
    if (!result.body_.empty())
        ended.items_ = {StageItemResult{result.body_, ItemFailure::None}};
    if (result.end_ == HttpCallEnd::Answered)
        ended.end_ = result.status_ == 200 ? StageCallEnd::Done : StageCallEnd::Refused;
    if (result.end_ == HttpCallEnd::Unreachable)
        ended.end_ = StageCallEnd::Unreachable;
    return ended;
}

HttpCall throwFromEncoder(const StartStageCall &)
{
    throw std::runtime_error("no call");
}

StageCallEnded throwFromDecoder(const StartStageCall &, const HttpCallResult &)
{
    throw std::runtime_error("no result");
}

std::string answerText(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/// Makes calls to one upstream, one after the other.
struct Fixture
{
    explicit Fixture(ScriptedUpstream::Script script) : upstream_(context_, std::move(script))
    {
        protocol_.encodeStageCall_ = encodeTestCall;
        protocol_.decodeStageCall_ = decodeTestCall;
    }

    StageCallEnded call(const std::string &address = "127.0.0.1")
    {
        StartStageCall call;
        call.call_ = 7;
        call.upstream_.agentAddress_ = address;
        call.upstream_.agentPort_ = upstream_.port();
        call.limit_ = seconds(2);
        std::optional<StageCallEnded> ended;
        asio::co_spawn(context_, performStageCall(client_, protocol_, std::move(call)),
                       [&](const std::exception_ptr &exception, const StageCallEnded &result) {
                           BOOST_TEST(!exception);
                           ended = result;
                       });
        while (!ended)
            context_.run_one();
        return *ended;
    }

    asio::io_context context_;
    ScriptedUpstream upstream_;
    HttpClient client_{context_};
    DirectProtocol protocol_{};
};

struct StageCallRow
{
    const char *description_;
    const char *address_; ///< address of the upstream
    HttpCall (*encode_)(const StartStageCall &call);
    StageCallEnded (*decode_)(const StartStageCall &call, const HttpCallResult &result);
    StageCallEnd expected_;
};

std::ostream &operator<<(std::ostream &stream, const StageCallRow &row)
{
    return stream << row.description_;
}

const StageCallRow stageCallTable[] = {
    {"answered", "127.0.0.1", encodeTestCall, decodeTestCall, StageCallEnd::Done},
    {"address that is no IP address", "no address", encodeTestCall, decodeTestCall,
     StageCallEnd::Unreachable},
    {"exception before the call is sent", "127.0.0.1", throwFromEncoder, decodeTestCall,
     StageCallEnd::Failed},
    {"exception after the call was sent", "127.0.0.1", encodeTestCall, throwFromDecoder,
     StageCallEnd::Failed},
};

// A call without an end would leave its upstream busy, and its requests waiting.
BOOST_DATA_TEST_CASE(stage_call_that_throws_ends_with_a_result, data::make(stageCallTable), row)
{
    Fixture fixture(
        [](int, const ScriptedUpstream::Request &) { return answerText("200 OK", ""); });
    fixture.protocol_.encodeStageCall_ = row.encode_;
    fixture.protocol_.decodeStageCall_ = row.decode_;
    const StageCallEnded ended = fixture.call(row.address_);
    BOOST_TEST((ended.end_ == row.expected_));
    BOOST_TEST(ended.call_ == 7u);
}

// The refusal of an earlier call arrives once more, ahead of the true answer to the second call.
BOOST_AUTO_TEST_CASE(answer_to_a_call_is_not_read_as_that_of_the_next_one_after_a_refusal)
{
    Fixture fixture([](int number, const ScriptedUpstream::Request &) {
        const std::string answer = answerText("200 OK", "answer " + std::to_string(number));
        return number == 2 ? answerText("503 Service Unavailable", "") : answer;
    });
    BOOST_TEST(fixture.call().detail_ == "answer 1");
    BOOST_TEST((fixture.call().end_ == StageCallEnd::Refused));
    // The true answer to the second call arrives after the third one was written.
    fixture.upstream_.writeBeforeNextAnswer(answerText("200 OK", "answer 2"));
    BOOST_TEST(fixture.call().detail_ == "answer 3");
    BOOST_TEST(fixture.upstream_.connections() == 2);
}

// The answer to the first call arrives once more while the second one is processed. Its results
// would be taken for those of the second call, and the true answer for that to the third.
BOOST_AUTO_TEST_CASE(answer_that_is_sent_again_is_not_read_as_that_of_the_next_call)
{
    Fixture fixture([](int number, const ScriptedUpstream::Request &) {
        return answerText("200 OK", "answer " + std::to_string(number));
    });
    BOOST_TEST(fixture.call().detail_ == "answer 1");
    fixture.upstream_.writeBeforeNextAnswer(answerText("200 OK", "answer 1"));
    BOOST_TEST((fixture.call().end_ == StageCallEnd::Failed));
    BOOST_TEST(fixture.call().detail_ == "answer 3");
    BOOST_TEST(fixture.upstream_.connections() == 2);
}

// Refusals of all pieces look alike.
BOOST_AUTO_TEST_CASE(connection_is_closed_after_an_answer_without_results)
{
    Fixture fixture([](int number, const ScriptedUpstream::Request &) {
        return answerText("200 OK", number == 2 ? "" : "answer " + std::to_string(number));
    });
    fixture.call();
    BOOST_TEST((fixture.call().end_ == StageCallEnd::Done));
    BOOST_TEST(fixture.call().detail_ == "answer 3");
    BOOST_TEST(fixture.upstream_.connections() == 2);
}

} // namespace
