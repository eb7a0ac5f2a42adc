/// @file
/// @brief Logging functions on top of log4cxx.
#pragma once

#include <string>

namespace chervilspring {

/// @brief Severity of a log line.
enum class LogLevel { Debug, Info, Warn, Error };

/// @brief Initializes logging. Call once, before any thread writes a line.
///
/// Lines pass through a bounded buffer. When the buffer is full, lines are dropped; the caller is
/// never blocked.
/// @param file path of the log file, or empty for standard output
/// @param level lowest severity that is written: "debug", "info", "warn" or "error"
/// @since 0.1.0
void openLog(const std::string &file, const std::string &level);

/// @brief Flushes the buffer and shuts logging down. Call after the last writeLog().
void closeLog();

/// @brief Writes one line. Thread-safe.
void writeLog(LogLevel level, const std::string &text);

} // namespace chervilspring
