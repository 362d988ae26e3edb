// Time types of the core classes, which decide without I/O. They get the time as a parameter of
// each call and never read a clock.
#pragma once

#include <chrono>

namespace Bluebellquay {

using Duration = std::chrono::microseconds;

// Clock type of the cores' time points. It has no now(), so that a core can't read the time.
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
