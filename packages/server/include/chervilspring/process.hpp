/// @file
/// @brief Runs one process of the system in its configured role.
#pragma once

#include "chervilspring/settings.hpp"

namespace chervilspring {

struct DirectProtocol;

/// @brief Runs until SIGTERM or SIGINT triggers a graceful stop, or until an unrecoverable error.
/// @param settings validated settings
/// @param settingsFile file that is reloaded on SIGHUP and when its content changes; empty disables
/// reloading
/// @param protocol protocol of the platform for processes that serve routes; nullptr otherwise
/// @return exit status: 0 after a graceful stop, 3 if a port cannot be bound, 4 if the disk failed
/// @since 0.1.0
int runProcess(const Settings &settings, const std::string &settingsFile = {},
               const DirectProtocol *protocol = nullptr);

} // namespace chervilspring
