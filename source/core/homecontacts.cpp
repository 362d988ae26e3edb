#include "core/homecontacts.h"

#include "core/timerheap.h"

#include <algorithm>

namespace Bluebellquay {

bool HomeContacts::alive(TimePoint now, Incarnation home, TimePoint at)
{
    const auto position = m_homes.find(home);
    if (position == m_homes.end())
        return false;
    Home &known = position->second;
    known.latest = std::max(known.latest.value_or(at), at);
    const bool before = known.inTouch;
    known.inTouch = before || recent(now, known);
    return known.inTouch && !before;
}

std::vector<Incarnation> HomeContacts::expire(TimePoint now)
{
    std::vector<Incarnation> lost;
    for (auto &[incarnation, home] : m_homes) {
        if (!home.inTouch || recent(now, home))
            continue;
        home.inTouch = false;
        lost.push_back(incarnation);
    }
    return lost;
}

std::optional<TimePoint> HomeContacts::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[incarnation, home] : m_homes) {
        if (home.inTouch)
            next = earliest(next, *home.latest + m_inTouchFor);
    }
    return next;
}

bool HomeContacts::inTouch(TimePoint now, Incarnation home) const
{
    const auto position = m_homes.find(home);
    return position != m_homes.end() && recent(now, position->second);
}

std::optional<TimePoint> HomeContacts::latest(Incarnation home) const
{
    const auto position = m_homes.find(home);
    return position != m_homes.end() ? position->second.latest : std::nullopt;
}

} // namespace Bluebellquay
