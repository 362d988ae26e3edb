// Processor time and memory of a process, from /proc.
#pragma once

#include <sys/types.h>

namespace Bluebellquay::Benchmark {

struct ProcessUsage
{
    // User and system time since the start, in steps of a clock tick (usually 10 ms).
    double cpuSeconds = 0;
    double residentBytes = 0;

    // Throws std::runtime_error if there is no such process.
    static ProcessUsage of(pid_t process);
};

} // namespace Bluebellquay::Benchmark
