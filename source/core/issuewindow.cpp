#include "core/issuewindow.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

// Periods for which a final answer can still be fetched, whatever the age of its id.
constexpr std::uint32_t RetentionPeriods = 2;

} // namespace

IssueWindow::IssueWindow(TimePoint start, Duration length, std::uint32_t acceptedPeriods)
    : m_start(start)
    , m_length(length)
    , m_acceptedPeriods(acceptedPeriods)
{ }

void IssueWindow::advance(TimePoint now)
{
    if (now < m_start)
        return;
    const auto periods = static_cast<std::uint32_t>((now - m_start) / m_length);
    m_current = std::max(m_current, IssuePeriod(periods + 1));
}

bool IssueWindow::accepts(IssuePeriod period) const
{
    return !isFuture(period) && m_current.value() - period.value() < m_acceptedPeriods;
}

IssuePeriod IssueWindow::keepUntil(IssuePeriod period) const
{
    return IssuePeriod(
        std::max(period.value() + m_acceptedPeriods, m_current.value() + RetentionPeriods));
}

TimePoint IssueWindow::nextChange() const
{
    return m_start + m_length * m_current.value();
}

} // namespace Bluebellquay
