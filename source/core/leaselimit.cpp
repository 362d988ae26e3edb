#include "core/leaselimit.h"

#include "core/homecontacts.h"
#include "core/timerheap.h"
#include "core/trackedruns.h"

namespace Bluebellquay {

std::optional<TimePoint> LeaseLimit::of(const TrackedRuns &runs) const
{
    std::optional<TimePoint> oldest;
    for (const auto &[key, run] : runs) {
        if (run.state != RunState::Waiting)
            oldest = earliest(oldest, run.released ? run.released : m_contacts.latest(run.home));
    }
    return oldest ? std::optional(*oldest + m_span) : std::nullopt;
}

} // namespace Bluebellquay
