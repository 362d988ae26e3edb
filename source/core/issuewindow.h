// The issue periods in which a home accepts ids that it has no record of. Periods are counted by
// the home's own clock, so clocks of different machines are never compared.
#pragma once

#include "base/coretime.h"
#include "base/submissionid.h"

#include <cstdint>

namespace Bluebellquay {

class IssueWindow
{
public:
    // Both arguments are above zero.
    IssueWindow(TimePoint start, Duration length, std::uint32_t acceptedPeriods);

    // Moves the window; time that runs backwards is ignored.
    void advance(TimePoint now);

    IssuePeriod current() const { return m_current; }
    bool isFuture(IssuePeriod period) const { return period > m_current; }
    // True if the period is one of the last accepted periods, the current one included.
    bool accepts(IssuePeriod period) const;
    // Last period in which a record of an id of this period has to be kept, if its final answer is
    // given in the current period. It is never within the accepted window of the id (invariant H2).
    IssuePeriod keepUntil(IssuePeriod period) const;
    // Start of the next period.
    TimePoint nextChange() const;

private:
    TimePoint m_start;
    Duration m_length;
    std::uint32_t m_acceptedPeriods;
    // Only rises; the first period has number one.
    IssuePeriod m_current{1};
};

} // namespace Bluebellquay
