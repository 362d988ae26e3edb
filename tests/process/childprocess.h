// A process started by a test; it never outlives the object.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Bluebellquay::Testing {

class ChildProcess
{
public:
    // Starts the program with standard output and standard error appended to the log file. Throws
    // std::runtime_error if it can't be started.
    ChildProcess(const std::vector<std::string> &command, const std::string &logFile);
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;
    // Kills the process if it still runs.
    ~ChildProcess();

    void signal(int number) const;
    // Kills it without notice and collects it.
    void kill();
    // Waits for the end; returns the exit status (128 + signal number if a signal ended it), or
    // nothing after the timeout.
    std::optional<int> wait(std::chrono::milliseconds timeout);
    bool running();
    pid_t pid() const { return m_pid; }

private:
    bool poll();

    // -1 if there is no process to collect.
    pid_t m_pid = -1;
    std::optional<int> m_status;
};

} // namespace Bluebellquay::Testing
