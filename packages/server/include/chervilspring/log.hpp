/// @file
/// @brief Log lines through log4cxx.
#pragma once

#include <string>

namespace chervilspring {

/// @brief Severity of a log line.
enum class LogLevel { Debug, Info, Warn, Error };

/// @brief Sets the log up. Call once, before any thread writes.
///
/// Lines go through a bounded buffer and are dropped, not waited for, when it is full.
/// @param file path; empty: standard output
/// @param level "debug", "info", "warn" or "error"
/// @since 0.1.0
void openLog(const std::string &file, const std::string &level);

/// @brief Writes what is buffered. Call last.
void closeLog();

/// @brief Writes one line. Thread-safe.
void writeLog(LogLevel level, const std::string &text);

} // namespace chervilspring
