/// @file
/// @brief What an adapter provides so that routes, stages and operators speak a platform's
/// protocol.
///
/// The functions translate between messages on the wire and the product's types; decisions stay in
/// the reducers.
#pragma once

#include "chervilspring/detail/direct/direct.hpp"
#include "chervilspring/detail/net/http_client.hpp"
#include "chervilspring/detail/scheduler/scheduler.hpp"

namespace chervilspring {

class ControlThread;

/// @brief What the head of an upstream's answer says.
struct RunAnswer
{
    bool matches_ = false; ///< it answers this request
    bool notExecuted_ = false; ///< the upstream did not run the request
    bool inputsGone_ = false; ///< results of stages are gone
    bool genuine_ = false; ///< it is the upstream's own answer, as far as the head shows
    std::string detail_; ///< why not
};

/// @brief Translations of one platform.
struct DirectProtocol
{
    std::string readyPath_; ///< asked by the platform's balancer

    /// Reads a caller's request; the error's detail says what is wrong with it.
    leaf::result<DirectCall> (*decodeCall_)(const HttpRequest &request);

    /// Whether a caller's header concerns only this system and isn't passed on.
    bool (*isOwnHeader_)(std::string_view name);

    /// Headers that this system adds for an upstream.
    std::vector<HttpHeader> (*runHeaders_)(const StartRun &run);

    /// Reads the head of an upstream's answer.
    RunAnswer (*decodeAnswer_)(const boost::beast::http::response_header<> &head,
                               const std::string &requestId);

    HttpCall (*encodeStageCall_)(const StartStageCall &call);
    StageCallEnded (*decodeStageCall_)(const StartStageCall &call, const HttpCallResult &result);
    HttpCall (*encodeFree_)(const FreeResults &results);

    /// Handles an operator's or upstream's call at a control process.
    void (*onControlCall_)(ControlThread &control, const HttpExchangePointer &exchange);
};

} // namespace chervilspring
