#include "membership/homepresence.h"

#include <vector>

namespace Bluebellquay {

void HomePresence::linkUp(const ProcessInfo &home)
{
    if (m_absent.contains(home.incarnation))
        m_unasked.insert(home.incarnation);
    // A new incarnation under the same name means that the earlier one is gone for good.
    std::vector<Incarnation> replaced;
    for (const auto &[incarnation, known] : m_homes) {
        if (incarnation != home.incarnation && known.name == home.name)
            replaced.push_back(incarnation);
    }
    for (const Incarnation incarnation : replaced)
        giveUp(incarnation);
    m_homes[home.incarnation] = home;
    m_handlers.known(home.incarnation);
}

void HomePresence::linkAlive(Incarnation home, TimePoint at)
{
    if (knows(home) && !m_absent.contains(home))
        m_handlers.alive(home, at);
}

void HomePresence::linkDown(Incarnation home)
{
    if (!knows(home))
        return;
    // The home may not have seen the link that has ended now: its absence goes on.
    if (m_unasked.erase(home) > 0)
        return;
    m_absent[home] =
        m_timers.at(m_timers.now() + m_grace, [this, home](TimePoint) { graceOver(home); });
}

void HomePresence::asked(Incarnation home)
{
    m_unasked.erase(home);
    m_absent.erase(home);
}

std::string HomePresence::nameOf(Incarnation home) const
{
    const auto position = m_homes.find(home);
    return position != m_homes.end() ? position->second.name : std::string();
}

void HomePresence::graceOver(Incarnation home)
{
    const ProcessInfo info = m_homes.at(home);
    const bool linked = m_unasked.contains(home);
    giveUp(home);
    if (!linked)
        return;
    m_homes[home] = info;
    m_handlers.known(home);
}

void HomePresence::giveUp(Incarnation home)
{
    m_handlers.givenUp(home);
    m_homes.erase(home);
    m_unasked.erase(home);
    m_absent.erase(home);
}

} // namespace Bluebellquay
