// A helper program, such as the load generator, that a benchmark starts beside its site. Its output
// goes to a temporary file that is deleted with the object.
#pragma once

#include "process/childprocess.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Bluebellquay::Benchmark {

class ToolProcess
{
public:
    ToolProcess(const std::string &program, std::vector<std::string> arguments);
    ToolProcess(const ToolProcess &) = delete;
    ToolProcess &operator=(const ToolProcess &) = delete;
    ~ToolProcess();

    pid_t pid() const { return m_process->pid(); }
    // Waits for the program to exit and returns its output. Throws std::runtime_error if it fails
    // or does not exit in time.
    std::string finish(std::chrono::milliseconds limit);
    // Port that the program printed as its first line. Throws std::runtime_error if it doesn't.
    std::string printedPort() const;

private:
    std::string output() const;

    std::string m_outputFile;
    std::unique_ptr<Testing::ChildProcess> m_process;
};

} // namespace Bluebellquay::Benchmark
