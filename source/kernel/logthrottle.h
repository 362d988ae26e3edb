// Bounds the log lines of an event that clients can cause as often as they like.
#pragma once

#include "base/coretime.h"

#include <cstdint>
#include <utility>

namespace Bluebellquay {

class LogThrottle
{
public:
    static constexpr Duration Interval{1'000'000};
    static constexpr std::uint32_t LinesPerInterval = 20;

    // Whether a line may be written now.
    bool allow(TimePoint now)
    {
        if (now >= m_begin + Interval) {
            m_begin = now;
            m_lines = 0;
        }
        if (m_lines >= LinesPerInterval) {
            ++m_suppressed;
            return false;
        }
        ++m_lines;
        return true;
    }
    // Lines that were not written since the last call, for the next line that is.
    std::uint64_t takeSuppressed() { return std::exchange(m_suppressed, 0); }

private:
    TimePoint m_begin{};
    std::uint32_t m_lines = 0;
    std::uint64_t m_suppressed = 0;
};

} // namespace Bluebellquay
