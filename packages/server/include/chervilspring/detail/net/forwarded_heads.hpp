/// @file
/// @brief Heads of requests and answers as they are passed on.
#pragma once

#include "chervilspring/detail/net/direct_protocol.hpp"

namespace chervilspring {

/// @brief Head of a caller's request as an upstream gets it, with the empty line at its end.
///
/// Headers that concern one connection, and those that this system sets itself, are left out.
std::string requestHead(const HttpRequest &request, const DirectProtocol &protocol,
                        const StartRun &run);

/// @brief Status line and headers of an upstream's answer, each with its line end.
///
/// The caller's connection adds the headers that say how the body is framed.
std::string answerHead(const boost::beast::http::response_header<> &head);

} // namespace chervilspring
