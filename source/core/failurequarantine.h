// Keeps work away from an upstream that fails everything it starts, which would otherwise attract
// work by failing fast. Probes it with single tasks after growing delays.
#pragma once

#include "base/coretime.h"
#include "base/submissionid.h"

#include <algorithm>
#include <optional>

namespace Bluebellquay {

class FailureQuarantine
{
public:
    // Returns true if this failure begins or prolongs the quarantine. Failures of one submission
    // count once, because the submission itself may be at fault.
    bool failed(TimePoint now, const SubmissionId &submission)
    {
        if (submission == m_lastFailed && !active())
            return false;
        m_lastFailed = submission;
        ++m_consecutive;
        if (m_consecutive < Threshold)
            return false;
        m_delay = m_delay == Duration(0) ? FirstDelay : std::min(m_delay * 2, MaxDelay);
        m_probeAt = now + m_delay;
        return true;
    }
    void succeeded() { *this = FailureQuarantine(); }

    bool active() const { return m_probeAt.has_value(); }
    // While in quarantine, one task may be started at or after this time.
    std::optional<TimePoint> probeAt() const { return m_probeAt; }
    // A probe was asked for; the next one waits for its result or for another delay.
    void probeSent(TimePoint now) { m_probeAt = now + m_delay; }

private:
    // Consecutive failures of different submissions; a healthy upstream rarely has that many.
    static constexpr int Threshold = 5;
    static constexpr Duration FirstDelay{250'000};
    static constexpr Duration MaxDelay{16'000'000};

    int m_consecutive = 0;
    SubmissionId m_lastFailed;
    Duration m_delay{0};
    std::optional<TimePoint> m_probeAt;
};

} // namespace Bluebellquay
