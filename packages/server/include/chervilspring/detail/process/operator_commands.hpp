/// @file
/// @brief Parses operators' HTTP calls into commands.
#pragma once

#include "chervilspring/error.hpp"
#include "chervilspring/messages.hpp"

namespace chervilspring {

/// @brief A command and a warning for the operator who issued it.
struct OperatorCommand
{
    Command command_;
    std::string warning_; ///< selectors that match no upstream; empty: no warning
};

/// @brief Parses the body of an operator's call.
/// @param path "/v1/fleet", "/v1/labels", "/v1/drain", "/v1/evacuations" or "/v1/settle"
/// @param body JSON object
/// @param view current view; the warning names the selectors that match none of its upstreams
/// @return the command, or an error that names the missing or invalid member
/// @since 0.1.0
leaf::result<OperatorCommand> parseOperatorCommand(const std::string &path, const std::string &body,
                                                   const View &view);

/// @brief Describes the selectors of a fleet that currently match no upstream.
/// @return one sentence per selector, joined by "; "; empty if all match
std::string describeUnmatchedSelectors(const Fleet &fleet, const std::vector<Upstream> &upstreams);

} // namespace chervilspring
