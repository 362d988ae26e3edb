// Until when the lease of a worker may last. The caller of a job submits it again elsewhere some
// time after the job's home has fallen silent or has released the job. Its runs must be over by
// then, also if the agent freezes before it can stop them: a lease that it has renewed meanwhile
// would let them go on.
#pragma once

#include "base/coretime.h"
#include "base/messages.h"

#include <map>
#include <optional>

namespace Bluebellquay {

class TrackedRuns;

class LeaseLimit
{
public:
    // Runs must be over within this time after their home was heard or has released them.
    explicit LeaseLimit(Duration span)
        : m_span(span)
    { }

    // A link to the home is up. One that was up before has not been heard on it yet.
    void homeUp(TimePoint now, Incarnation home) { m_heard.emplace(home, now); }
    // A message of the home has arrived, after all that it may have sent again on a new link.
    void heard(TimePoint now, Incarnation home);
    // The home is given up: the limit of its runs is that of its last message from now on.
    void giveUp(Incarnation home, TrackedRuns &runs);
    // Nothing if no run limits the lease.
    std::optional<TimePoint> of(const TrackedRuns &runs) const;

private:
    Duration m_span;
    // When each home that has not been given up was heard last.
    std::map<Incarnation, TimePoint> m_heard;
};

} // namespace Bluebellquay
