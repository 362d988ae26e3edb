// Rate at which work arrives, as an exponential moving average over time.
#pragma once

#include "base/coretime.h"

#include <cmath>

namespace Bluebellquay {

class WorkRate
{
public:
    explicit WorkRate(Duration timeConstant = DefaultTimeConstant)
        : m_timeConstant(timeConstant)
    { }

    void add(TimePoint now, double work)
    {
        m_rate = rate(now) + work / static_cast<double>(m_timeConstant.count());
        m_at = now;
    }

    // Work per microsecond.
    double rate(TimePoint now) const
    {
        const auto passed = static_cast<double>((now - m_at).count());
        return m_rate * std::exp(-passed / static_cast<double>(m_timeConstant.count()));
    }

private:
    // 500 ms. The demand fluctuates within seconds, but a single job must not change the average
    // much.
    static constexpr Duration DefaultTimeConstant{500'000};

    Duration m_timeConstant;
    double m_rate = 0;
    TimePoint m_at{};
};

} // namespace Bluebellquay
