/// @file
/// @brief Logs the exceptions that end coroutines.
#pragma once

#include "chervilspring/log.hpp"

#include <exception>
#include <string>

namespace chervilspring {

/// @brief Writes a log line about an exception that ended an operation.
inline void logException(const std::string &operation, const std::exception &error)
{
    writeLog(LogLevel::Error, operation + " ended by an exception reason=" + error.what());
}

/// @brief Completion handler for co_spawn in place of asio::detached, which drops exceptions.
struct LogException
{
    std::string operation_; ///< what the coroutine does

    void operator()(const std::exception_ptr &exception) const
    {
        if (!exception)
            return;
        try {
            std::rethrow_exception(exception);
        } catch (const std::exception &error) {
            logException(operation_, error);
        }
    }
};

} // namespace chervilspring
