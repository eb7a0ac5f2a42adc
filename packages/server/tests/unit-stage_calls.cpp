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
    if (result.end_ == HttpCallEnd::Answered)
        ended.end_ = StageCallEnd::Done;
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
    asio::io_context context;
    ScriptedUpstream upstream(context, [](int, const ScriptedUpstream::Request &) {
        return std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    HttpClient client(context);
    DirectProtocol protocol{};
    protocol.encodeStageCall_ = row.encode_;
    protocol.decodeStageCall_ = row.decode_;
    StartStageCall call;
    call.call_ = 7;
    call.upstream_.agentAddress_ = row.address_;
    call.upstream_.agentPort_ = upstream.port();
    call.limit_ = seconds(2);
    std::optional<StageCallEnded> ended;
    asio::co_spawn(context, performStageCall(client, protocol, std::move(call)),
                   [&](const std::exception_ptr &exception, const StageCallEnded &result) {
                       BOOST_TEST(!exception);
                       ended = result;
                   });
    while (!ended)
        context.run_one();
    BOOST_TEST((ended->end_ == row.expected_));
    BOOST_TEST(ended->call_ == 7u);
}

} // namespace
