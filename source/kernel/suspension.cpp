#include "kernel/suspension.h"

#include <ctime>

namespace Bluebellquay {

namespace {

Duration read(clockid_t clock)
{
    timespec time{};
    ::clock_gettime(clock, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

Duration suspendedTime()
{
    return read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC);
}

} // namespace Bluebellquay
