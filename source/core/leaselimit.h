// Until when the lease of a worker may last. The caller of a job submits it again elsewhere some
// time after the job's home has died or has released the job. Its runs must be over by then, also
// if the agent freezes before it can stop them: a lease that it has renewed meanwhile would let
// them go on.
#pragma once

#include "base/coretime.h"

#include <optional>

namespace Bluebellquay {

class HomeContacts;
class TrackedRuns;

class LeaseLimit
{
public:
    // Runs must be over within this time after the latest contact to their home, or after the home
    // has released them. Contacts must outlive this object.
    LeaseLimit(Duration span, const HomeContacts &contacts)
        : m_span(span)
        , m_contacts(contacts)
    { }

    // Nothing if no run limits the lease.
    std::optional<TimePoint> of(const TrackedRuns &runs) const;

private:
    Duration m_span;
    const HomeContacts &m_contacts;
};

} // namespace Bluebellquay
