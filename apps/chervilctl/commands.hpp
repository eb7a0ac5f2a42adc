/// @file
/// @brief Subcommands of chervilctl.
#pragma once

#include "control_client.hpp"

namespace chervilctl {

/// @brief Exit statuses; documented in docs/OPERATIONS.md.
enum class ExitStatus {
    Ok = 0,
    Usage = 1, ///< invalid command line
    Refused = 2, ///< a process rejected the call, or the input is invalid
    Unreachable = 3, ///< no process could be reached
    Conflict = 4, ///< the configuration was changed concurrently
    NotInForce = 5, ///< accepted, but not acknowledged by every live node in time
};

/// @brief Parsed command line.
struct Invocation
{
    std::vector<HostPort> controlHosts_;
    std::vector<HostPort> entryHosts_;
    std::string credential_;
    std::string operationId_; ///< a random one is used if empty
    bool json_ = false; ///< print JSON instead of tables
    std::vector<std::string> arguments_; ///< the subcommand, followed by its arguments
};

/// @brief Usage text with one line for each subcommand.
std::string usageText();

/// @brief Runs a subcommand and prints its output.
/// @return exit status; errors are printed to standard error
ExitStatus runCommand(const Invocation &invocation);

} // namespace chervilctl
