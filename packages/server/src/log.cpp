#include "chervilspring/log.hpp"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace chervilspring {

namespace {

constexpr int maxBufferedLines = 4096; // about one second of output of the busiest process

constexpr char linePattern[] = "%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %m%n";

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("chervilspring");
    return instance;
}

} // namespace

void openLog(const std::string &file, const std::string &level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(linePattern);
    log4cxx::AppenderPtr appender;
    if (file.empty())
        appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemOut());
    else
        appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
    // A slow reader of the output must not block the process: lines that do not fit into the buffer
    // are dropped, and AsyncAppender logs how many.
    const auto buffered = std::make_shared<log4cxx::AsyncAppender>();
    buffered->setBufferSize(maxBufferedLines);
    buffered->setBlocking(false);
    buffered->addAppender(appender);
    log4cxx::BasicConfigurator::configure(buffered);
    logger()->setLevel(log4cxx::Level::toLevel(level));
}

void closeLog()
{
    log4cxx::LogManager::shutdown();
}

void writeLog(LogLevel level, const std::string &text)
{
    switch (level) {
    case LogLevel::Debug:
        LOG4CXX_DEBUG(logger(), text);
        return;
    case LogLevel::Info:
        LOG4CXX_INFO(logger(), text);
        return;
    case LogLevel::Warn:
        LOG4CXX_WARN(logger(), text);
        return;
    case LogLevel::Error:
        LOG4CXX_ERROR(logger(), text);
        return;
    }
}

} // namespace chervilspring
