/// @file
/// @brief Runs one process of the system in its configured role.
#pragma once

#include "chervilspring/settings.hpp"

namespace chervilspring {

struct DirectProtocol;

/// @brief The settings file of a process.
struct SettingsFile
{
    std::string path_; ///< empty: changes aren't detected
    std::string content_; ///< content that the settings were parsed from
};

/// @brief Holds back the signals that runProcess() handles until it does so.
///
/// To be called first in main(), before any thread is started: SIGHUP, SIGTERM and SIGINT end a
/// process that doesn't handle them yet.
/// @since 0.1.0
void holdBackSignals();

/// @brief Runs until SIGTERM or SIGINT triggers a graceful stop, or until an unrecoverable error.
///
/// Control processes, and entries with a protocol, reload the settings on SIGHUP and when the
/// content of the file changes. Only the names of the control processes are applied: control
/// processes replace their list, entries add new names. All other settings need a restart. Other
/// roles ignore SIGHUP and changes of the file.
/// @param settings validated settings
/// @param settingsFile file that the settings were read from
/// @param protocol protocol of the platform for processes that serve routes; nullptr otherwise
/// @return exit status: 0 after a graceful stop, 3 if a port cannot be bound, 4 if the disk failed
/// @since 0.1.0
int runProcess(const Settings &settings, const SettingsFile &settingsFile = {},
               const DirectProtocol *protocol = nullptr);

} // namespace chervilspring
