#include "standins/startlog.h"

#include "standins/commandline.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace Bluebellquay {

boost::leaf::result<StartLog> StartLog::open(const std::string &path)
{
    if (path.empty())
        return StartLog(-1);
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (descriptor < 0)
        return boost::leaf::new_error(
            CommandLineError{"--start-log: can't open " + path + ": " + std::strerror(errno)});
    return StartLog(descriptor);
}

StartLog::StartLog(StartLog &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_counts(std::move(other.m_counts))
    , m_starts(other.m_starts)
    , m_repeatedAttempts(other.m_repeatedAttempts)
{ }

StartLog::~StartLog()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

bool StartLog::record(const std::string &task, std::uint32_t attempt)
{
    ++m_starts;
    if (++m_counts[{task, attempt}] == 2)
        ++m_repeatedAttempts;
    if (m_descriptor < 0)
        return true;
    // One write() with O_APPEND: the kernel has the whole line even if this process is killed next.
    const std::string line = task + " " + std::to_string(attempt) + "\n";
    return ::write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

standins::v1::GetStartsResponse
StartLog::select(const standins::v1::GetStartsRequest &request) const
{
    standins::v1::GetStartsResponse response;
    for (auto position = m_counts.lower_bound({request.prefix(), 0});
         position != m_counts.end() && position->first.first.starts_with(request.prefix());
         ++position) {
        if (position->second < request.min_starts())
            continue;
        if (request.limit() != 0
            && static_cast<std::uint32_t>(response.tasks_size()) == request.limit())
            break;
        standins::v1::TaskStarts &entry = *response.add_tasks();
        entry.set_task(position->first.first);
        entry.set_attempt(position->first.second);
        entry.set_starts(position->second);
    }
    return response;
}

} // namespace Bluebellquay
