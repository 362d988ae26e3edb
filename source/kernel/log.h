// Structured logs: one line of key=value pairs for each event, on standard output through
// log4cplus.
#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace Bluebellquay {

enum class LogLevel { Debug, Info, Warning, Error };

// Sets up log4cplus for this process. Call once, before the first event.
void initializeLog(std::string_view process, LogLevel threshold);

// One event; written when the object is destroyed at the end of the full expression:
//   LogEvent(LogLevel::Info, "link_up").field("peer", name).field("count", 3);
// Never pass a secret, a payload or another caller's data as a field.
class LogEvent
{
public:
    LogEvent(LogLevel level, std::string_view event);
    ~LogEvent();
    LogEvent(const LogEvent &) = delete;
    LogEvent &operator=(const LogEvent &) = delete;

    // Text with spaces, quotes, '=' or control characters is quoted and escaped.
    LogEvent &field(std::string_view key, std::string_view value);
    template <std::integral Number>
    LogEvent &field(std::string_view key, Number value)
    {
        return rawField(key, std::to_string(value));
    }

private:
    LogEvent &rawField(std::string_view key, std::string_view value);

    LogLevel m_level;
    // False if the level is below the threshold: fields are then not formatted.
    bool m_enabled;
    std::string m_line;
};

} // namespace Bluebellquay
