#include "bench/process/toolprocess.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace Bluebellquay::Benchmark {

namespace {

constexpr std::chrono::milliseconds PollInterval(20);
constexpr int MaxPolls = 500;

std::string nextOutputFile()
{
    static int count = 0;
    const std::string name =
        "bluebellquay-bench-" + std::to_string(getpid()) + "-" + std::to_string(++count) + ".log";
    return std::filesystem::temp_directory_path() / name;
}

} // namespace

ToolProcess::ToolProcess(const std::string &program, std::vector<std::string> arguments)
    : m_outputFile(nextOutputFile())
{
    arguments.insert(arguments.begin(), std::string(BLUEBELLQUAY_BIN_DIR) + "/" + program);
    m_process = std::make_unique<Testing::ChildProcess>(arguments, m_outputFile);
}

ToolProcess::~ToolProcess()
{
    m_process.reset();
    std::error_code ignored;
    std::filesystem::remove(m_outputFile, ignored);
}

std::string ToolProcess::finish(std::chrono::milliseconds limit)
{
    const std::optional<int> status = m_process->wait(limit);
    if (!status)
        throw std::runtime_error("a tool did not end: " + output());
    if (*status != 0)
        throw std::runtime_error("a tool failed: " + output());
    return output();
}

std::string ToolProcess::printedPort() const
{
    for (int i = 0; i < MaxPolls; ++i) {
        const std::string text = output();
        if (const auto end = text.find('\n'); end != std::string::npos)
            return text.substr(0, end);
        std::this_thread::sleep_for(PollInterval);
    }
    throw std::runtime_error("a tool printed no port");
}

std::string ToolProcess::output() const
{
    std::ifstream file(m_outputFile);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace Bluebellquay::Benchmark
