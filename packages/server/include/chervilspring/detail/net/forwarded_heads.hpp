/// @file
/// @brief Rewrites the heads of requests and answers for forwarding.
#pragma once

#include "chervilspring/detail/net/direct_protocol.hpp"

namespace chervilspring {

/// @brief Builds the request head for an upstream, including the terminating empty line.
///
/// Connection-specific headers and headers meant for this system only are removed.
/// @param request the caller's request
/// @param protocol protocol of the platform
/// @param run run whose headers are added
std::string forwardedRequestHead(const HttpRequest &request, const DirectProtocol &protocol,
                                 const StartRun &run);

/// @brief Builds the status line and the headers for the caller, each terminated by CRLF.
///
/// Connection-specific headers are removed; DirectExchange adds the ones that frame the body.
/// @param head head of the upstream's answer
std::string forwardedAnswerHead(const boost::beast::http::response_header<> &head);

} // namespace chervilspring
