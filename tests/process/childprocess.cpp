#include "process/childprocess.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>
#include <thread>
#include <utility>

extern char **environ;

namespace Bluebellquay::Testing {

namespace {

constexpr std::chrono::milliseconds PollInterval(5);
constexpr int SignalStatusBase = 128;

class FileActions
{
public:
    explicit FileActions(const std::string &logFile)
    {
        posix_spawn_file_actions_init(&m_actions);
        posix_spawn_file_actions_addopen(&m_actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
        posix_spawn_file_actions_addopen(&m_actions, STDOUT_FILENO, logFile.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
        posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
        // Otherwise the process would keep the listeners of stand-ins open that have closed them.
        posix_spawn_file_actions_addclosefrom_np(&m_actions, STDERR_FILENO + 1);
    }
    FileActions(const FileActions &) = delete;
    FileActions &operator=(const FileActions &) = delete;
    ~FileActions() { posix_spawn_file_actions_destroy(&m_actions); }

    const posix_spawn_file_actions_t *actions() const { return &m_actions; }

private:
    posix_spawn_file_actions_t m_actions{};
};

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command)
        arguments.push_back(const_cast<char *>(argument.c_str()));
    arguments.push_back(nullptr);
    const FileActions files(logFile);
    if (posix_spawn(&m_pid, arguments[0], files.actions(), nullptr, arguments.data(), environ) != 0)
        throw std::runtime_error("could not start " + command[0]);
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_status(other.m_status)
{ }

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    if (this == &other)
        return *this;
    kill();
    m_pid = std::exchange(other.m_pid, -1);
    m_status = other.m_status;
    return *this;
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0 && !m_status)
        ::kill(m_pid, number);
}

void ChildProcess::kill()
{
    if (m_pid <= 0 || !running())
        return;
    signal(SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_status = SignalStatusBase + SIGKILL;
}

bool ChildProcess::poll()
{
    if (m_status || m_pid <= 0)
        return true;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : SignalStatusBase + WTERMSIG(status);
    return true;
}

bool ChildProcess::running()
{
    return m_pid > 0 && !poll();
}

std::optional<int> ChildProcess::wait(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!poll()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return std::nullopt;
        std::this_thread::sleep_for(PollInterval);
    }
    return m_status;
}

} // namespace Bluebellquay::Testing
