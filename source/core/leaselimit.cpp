#include "core/leaselimit.h"

#include "core/trackedruns.h"

#include <algorithm>

namespace Bluebellquay {

void LeaseLimit::heard(TimePoint now, Incarnation home)
{
    if (const auto position = m_heard.find(home); position != m_heard.end())
        position->second = now;
}

void LeaseLimit::giveUp(Incarnation home, TrackedRuns &runs)
{
    const auto position = m_heard.find(home);
    if (position == m_heard.end())
        return;
    for (auto &[key, run] : runs) {
        if (run.home == home)
            run.releaseAt(position->second);
    }
    m_heard.erase(position);
}

std::optional<TimePoint> LeaseLimit::of(const TrackedRuns &runs) const
{
    std::optional<TimePoint> earliest;
    const auto consider = [&](TimePoint contact) {
        earliest = std::min(earliest.value_or(contact + m_span), contact + m_span);
    };
    for (const auto &[key, run] : runs) {
        if (run.state == RunState::Waiting)
            continue;
        if (run.released)
            consider(*run.released);
        else if (const auto position = m_heard.find(run.home); position != m_heard.end())
            consider(position->second);
    }
    return earliest;
}

} // namespace Bluebellquay
