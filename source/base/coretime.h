// Time as the decision cores see it: handed in with every call, never read from a clock.
#pragma once

#include <chrono>

namespace Bluebellquay {

using Duration = std::chrono::microseconds;

// Tag of the time points of the cores. It has no now(): a core can't read the time by itself.
struct CoreClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<CoreClock, Duration>;
    static constexpr bool is_steady = true;
};

// Microseconds since an arbitrary start that is the same for all calls into one core.
using TimePoint = CoreClock::time_point;

} // namespace Bluebellquay
