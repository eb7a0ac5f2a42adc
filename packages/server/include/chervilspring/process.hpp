/// @file
/// @brief Runs one process of the system in the role that its settings name.
#pragma once

#include "chervilspring/settings.hpp"

namespace chervilspring {

struct DirectProtocol;

/// @brief Runs until SIGTERM or SIGINT and a graceful stop, or until an error that can't be mended.
/// @param settings checked settings
/// @return exit status: 0 after a graceful stop, 3 if a port can't be had, 4 if the disk failed
/// @since 0.1.0
/// @param settingsFile read again when it changes or on SIGHUP; empty: never
/// @param protocol of the platform, for processes that serve routes; nullptr otherwise
int runProcess(const Settings &settings, const std::string &settingsFile = {},
               const DirectProtocol *protocol = nullptr);

} // namespace chervilspring
