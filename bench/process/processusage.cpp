#include "bench/process/processusage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

namespace Bluebellquay::Benchmark {

namespace {

// Fields of /proc/<pid>/stat between the end of the program's name and utime (proc(5)).
constexpr int FieldsBeforeUserTime = 11;
// Fields between stime and rss.
constexpr int FieldsBeforeResident = 8;

} // namespace

ProcessUsage ProcessUsage::of(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string line;
    if (!std::getline(file, line))
        throw std::runtime_error("no process " + std::to_string(process));
    // The name may contain spaces and parentheses; the last parenthesis ends it.
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int i = 0; i < FieldsBeforeUserTime; ++i)
        fields >> skipped;
    double userTicks = 0;
    double systemTicks = 0;
    fields >> userTicks >> systemTicks;
    for (int i = 0; i < FieldsBeforeResident; ++i)
        fields >> skipped;
    double residentPages = 0;
    fields >> residentPages;
    if (!fields)
        throw std::runtime_error("unexpected form of " + line);
    return {(userTicks + systemTicks) / static_cast<double>(sysconf(_SC_CLK_TCK)),
            residentPages * static_cast<double>(sysconf(_SC_PAGESIZE))};
}

} // namespace Bluebellquay::Benchmark
