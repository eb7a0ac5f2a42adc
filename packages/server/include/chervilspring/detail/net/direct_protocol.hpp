/// @file
/// @brief Interface that an adapter implements so that routes, stages and operators use a
/// platform's protocol.
///
/// The functions only translate between messages on the wire and internal types; decisions are made
/// in the reducers.
#pragma once

#include "chervilspring/detail/direct/direct.hpp"
#include "chervilspring/detail/net/http_client.hpp"
#include "chervilspring/detail/scheduler/scheduler.hpp"

namespace chervilspring {

class ControlThread;

/// @brief Decoded head of an upstream's answer.
struct RunAnswer
{
    bool matches_ = false; ///< the answer has the id of this request, or may belong to it
    bool identified_ = false; ///< the answer has the id of this request
    bool notExecuted_ = false; ///< the upstream did not run the request
    bool inputsGone_ = false; ///< stage results that the request needs no longer exist
    bool fromUpstream_ = false; ///< judging by the head, the upstream itself sent the answer
    std::string detail_; ///< why matches_ or fromUpstream_ is false
    UpstreamNotice notice_; ///< empty if the answer may come from another upstream
};

/// @brief Encoders and decoders for the protocol of one platform.
struct DirectProtocol
{
    std::string readyPath_; ///< path of the readiness probe of the platform's load balancer

    /// Decodes a caller's request; the detail of an error describes what is malformed.
    leaf::result<DirectCall> (*decodeCall_)(const HttpRequest &request);

    /// Whether a caller's header is meant for this system only and is not forwarded.
    bool (*isReservedHeader_)(std::string_view name);

    /// Returns the headers that this system adds to the request for an upstream.
    std::vector<HttpHeader> (*runHeaders_)(const StartRun &run);

    /// Decodes the head of an upstream's answer to the request with the given id.
    RunAnswer (*decodeAnswer_)(const boost::beast::http::response_header<> &head,
                               const std::string &requestId);

    /// Encodes a call to a stage upstream; the scheduler thread sets its timeout and reuse_.
    HttpCall (*encodeStageCall_)(const StartStageCall &call);

    /// Decodes the result of a call to a stage upstream.
    StageCallEnded (*decodeStageCall_)(const StartStageCall &call, const HttpCallResult &result);

    /// Encodes a call that frees stage results which are no longer needed.
    HttpCall (*encodeFree_)(const FreeResults &results);

    /// Handles an operator's or upstream's call at a control process.
    void (*onControlCall_)(ControlThread &control, const HttpExchangePointer &exchange);
};

} // namespace chervilspring
