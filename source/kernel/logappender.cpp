#include "kernel/logappender.h"

#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <sstream>

namespace Bluebellquay {

namespace {

// A pipe that is ready for writing takes this much without blocking (PIPE_BUF).
constexpr std::size_t MaxLineBytes = 4'096;

} // namespace

LogAppender::LogAppender(int descriptor)
    : m_descriptor(descriptor)
    , m_refilled(std::chrono::steady_clock::now())
{ }

LogAppender::~LogAppender()
{
    destructorImpl();
}

bool LogAppender::admit()
{
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> passed = now - m_refilled;
    m_refilled = now;
    m_tokens = std::min(Burst, m_tokens + passed.count() * LinesPerSecond);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

bool LogAppender::write(const std::string &line)
{
    pollfd state{m_descriptor, POLLOUT, 0};
    if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
        return false;
    const std::size_t length = std::min(line.size(), MaxLineBytes);
    return ::write(m_descriptor, line.data(), length) == static_cast<ssize_t>(length);
}

void LogAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    std::ostringstream text;
    layout->formatAndAppend(text, event);
    std::string line = text.str();
    if (m_droppedSince > 0 && !line.empty()) {
        line.pop_back();
        line += " dropped_lines_before=" + std::to_string(m_droppedSince) + '\n';
    }
    if (admit() && write(line)) {
        m_droppedSince = 0;
        return;
    }
    ++m_droppedSince;
    ++m_dropped;
}

} // namespace Bluebellquay
