// Writes log lines to standard output without ever waiting for the reader. Lines beyond a rate, and
// lines for which a pipe has no space, are dropped and counted; the next line that is
// written reports the count.
#pragma once

#include <log4cplus/appender.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace Bluebellquay {

class LogAppender : public log4cplus::Appender
{
public:
    // Token bucket: sustained rate in lines per second, and most lines written in one burst.
    static constexpr double LinesPerSecond = 300;
    static constexpr double Burst = 600;

    explicit LogAppender(int descriptor);
    ~LogAppender() override;

    void close() override { closed = true; }
    std::uint64_t dropped() const { return m_dropped; }

protected:
    // The name is that of log4cplus.
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    bool admit();
    bool write(const std::string &line);

    int m_descriptor;
    double m_tokens = Burst;
    std::chrono::steady_clock::time_point m_refilled;
    // Lines dropped since the last line that was written, and since the start.
    std::uint64_t m_droppedSince = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace Bluebellquay
