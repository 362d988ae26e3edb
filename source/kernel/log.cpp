#include "kernel/log.h"

#include "kernel/logappender.h"

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include <algorithm>
#include <memory>

namespace Bluebellquay {

namespace {

log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
               const auto byte = static_cast<unsigned char>(c);
               return byte <= ' ' || byte == '"' || byte == '=' || byte == '\\' || byte == 0x7f;
           });
}

void appendQuoted(std::string &line, std::string_view value)
{
    static constexpr std::string_view HexDigits = "0123456789abcdef";
    line.push_back('"');
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte == '"' || byte == '\\') {
            line.push_back('\\');
            line.push_back(c);
        } else if (byte < ' ' || byte == 0x7f) {
            line += "\\x";
            line.push_back(HexDigits[byte >> 4]);
            line.push_back(HexDigits[byte & 0xf]);
        } else {
            line.push_back(c);
        }
    }
    line.push_back('"');
}

log4cplus::Logger logger()
{
    static log4cplus::Logger instance =
        log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("bluebellquay"));
    return instance;
}

std::string &processName()
{
    static std::string name = "bluebellquay";
    return name;
}

} // namespace

void initializeLog(std::string_view process, LogLevel threshold)
{
    static log4cplus::Initializer initializer;
    processName() = process;
    log4cplus::SharedAppenderPtr appender(new LogAppender(STDOUT_FILENO));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%qZ} %m%n")));
    logger().removeAllAppenders();
    logger().addAppender(appender);
    logger().setLogLevel(toLog4cplus(threshold));
}

LogEvent::LogEvent(LogLevel level, std::string_view event)
    : m_level(level)
    , m_enabled(logger().isEnabledFor(toLog4cplus(level)))
{
    if (!m_enabled)
        return;
    m_line = "level=";
    m_line += levelName(level);
    m_line += " process=";
    m_line += processName();
    m_line += " event=";
    m_line += event;
}

LogEvent::~LogEvent()
{
    if (m_enabled)
        logger().log(toLog4cplus(m_level), m_line, nullptr, -1);
}

LogEvent &LogEvent::field(std::string_view key, std::string_view value)
{
    if (!m_enabled || !needsQuotes(value))
        return rawField(key, value);
    m_line.push_back(' ');
    m_line += key;
    m_line.push_back('=');
    appendQuoted(m_line, value);
    return *this;
}

LogEvent &LogEvent::rawField(std::string_view key, std::string_view value)
{
    if (!m_enabled)
        return *this;
    m_line.push_back(' ');
    m_line += key;
    m_line.push_back('=');
    m_line += value;
    return *this;
}

} // namespace Bluebellquay
