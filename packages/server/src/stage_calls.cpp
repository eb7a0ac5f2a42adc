#include "chervilspring/detail/net/stage_calls.hpp"

#include "chervilspring/detail/net/coroutine_end.hpp"

#include <algorithm>

namespace chervilspring {

namespace asio = boost::asio;

namespace {

asio::awaitable<StageCallEnded> sendStageCall(HttpClient &client, const DirectProtocol &protocol,
                                              StartStageCall call)
{
    HttpCall request = protocol.encodeStageCall_(call);
    request.limit_ = call.limit_;
    request.reuse_ = true;
    request.distinctAnswers_ = true; // each result has a name of its own
    const HttpCallResult result = co_await client.perform(std::move(request));
    StageCallEnded ended = protocol.decodeStageCall_(call, result);
    // Answers carry no id: one that isn't the expected kind may belong to an earlier call, and the
    // true one would be read as that of the next call. One that names no result may be equal to an
    // earlier one, so that it can't be told whether it was sent again.
    const bool namesResult =
        std::any_of(ended.items_.begin(), ended.items_.end(),
                    [](const StageItemResult &item) { return !item.handle_.empty(); });
    if (ended.end_ != StageCallEnd::Done || !namesResult)
        client.closeIdle(call.upstream_.agentAddress_, call.upstream_.agentPort_);
    co_return ended;
}

} // namespace

asio::awaitable<StageCallEnded> performStageCall(HttpClient &client, const DirectProtocol &protocol,
                                                 StartStageCall call)
{
    StageCallEnded ended;
    ended.call_ = call.call_;
    try {
        ended = co_await sendStageCall(client, protocol, std::move(call));
    } catch (const std::exception &error) {
        logException("stage call", error);
        ended.end_ = StageCallEnd::Failed;
        ended.detail_ = error.what();
    }
    co_return ended;
}

} // namespace chervilspring
