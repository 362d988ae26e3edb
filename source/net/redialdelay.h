// Delays between attempts to reach a peer: exponential with jitter, so that the peers of a process
// that comes back do not all dial it at the same moment.
#pragma once

#include "base/coretime.h"

#include <algorithm>
#include <random>

namespace Bluebellquay {

class RedialDelay
{
public:
    // Both above zero, minimum not above maximum.
    RedialDelay(Duration minimum, Duration maximum)
        : m_minimum(minimum)
        , m_maximum(maximum)
        , m_next(minimum)
    { }

    // Delay before the next attempt: between half of the present step and all of it. The step then
    // doubles up to the maximum.
    template <typename Random>
    Duration next(Random &random)
    {
        const Duration step = m_next;
        m_next = std::min(m_next * 2, m_maximum);
        std::uniform_int_distribution<Duration::rep> pick(step.count() / 2, step.count());
        return Duration(pick(random));
    }

    // Call when a link is up.
    void reset() { m_next = m_minimum; }

private:
    Duration m_minimum;
    Duration m_maximum;
    Duration m_next;
};

} // namespace Bluebellquay
