#include "core/leaselimit.h"

#include "core/homecontacts.h"
#include "core/timerheap.h"
#include "core/trackedruns.h"

namespace Bluebellquay {

std::optional<TimePoint> LeaseLimit::of(const TrackedRun &run) const
{
    const auto contact = run.released ? run.released : m_contacts.latest(run.home);
    return contact ? std::optional(*contact + m_span) : std::nullopt;
}

std::optional<TimePoint> LeaseLimit::of(const TrackedRuns &runs) const
{
    std::optional<TimePoint> first;
    for (const auto &[key, run] : runs)
        first = earliest(first, of(run));
    return first;
}

bool LeaseLimit::allowsStart(const TrackedRun &run, TimePoint leaseEnd) const
{
    const std::optional<TimePoint> limit = of(run);
    return limit && leaseEnd <= *limit;
}

} // namespace Bluebellquay
