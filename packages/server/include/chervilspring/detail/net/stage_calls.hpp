/// @file
/// @brief Calls to stage upstreams.
#pragma once

#include "chervilspring/detail/net/direct_protocol.hpp"

namespace chervilspring {

/// @brief Makes a call to a stage upstream.
/// @param client client that makes the call; must outlive it
/// @param protocol protocol of the platform; must outlive the call
/// @param call the call
/// @return how it ended; StageCallEnd::Failed also if encoding or decoding it throws
boost::asio::awaitable<StageCallEnded>
performStageCall(HttpClient &client, const DirectProtocol &protocol, StartStageCall call);

} // namespace chervilspring
