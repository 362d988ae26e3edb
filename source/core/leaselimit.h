// Until when the lease of a worker may last. The caller of a job submits it again elsewhere some
// time after the job's home has died or has released the job. Its runs must be over by then, also
// if the agent freezes before it can stop them: a lease that it has renewed meanwhile would let
// them go on.
//
// A lease never shortens. So a run may also begin only under a lease that ends within its limit:
// the order of a home that has died since may arrive while the worker has a longer one.
#pragma once

#include "base/coretime.h"

#include <optional>

namespace Bluebellquay {

class HomeContacts;
class TrackedRuns;
struct TrackedRun;

class LeaseLimit
{
public:
    // Runs must be over within this time after the latest contact to their home, or after the home
    // has released them. Contacts must outlive this object.
    LeaseLimit(Duration span, const HomeContacts &contacts)
        : m_span(span)
        , m_contacts(contacts)
    { }

    // Nothing if the run doesn't limit the lease.
    std::optional<TimePoint> of(const TrackedRun &run) const;
    // The earliest limit of all runs, those included that wait: they may begin under the lease.
    // Nothing if no run limits it.
    std::optional<TimePoint> of(const TrackedRuns &runs) const;
    // Whether a run that waits may begin while the worker has a lease that lasts until then.
    bool allowsStart(const TrackedRun &run, TimePoint leaseEnd) const;

private:
    Duration m_span;
    const HomeContacts &m_contacts;
};

} // namespace Bluebellquay
