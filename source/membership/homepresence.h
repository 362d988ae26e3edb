// Which homes an agent counts on: those with a link, and those whose link was lost a short while
// ago. A home that is not back in time is given up. A new link alone doesn't bring it back: that
// the link is up here does not show that the home sees it, and stops that the home has sent on the
// earlier link may be lost. The home is back when it asks for its runs, after the stops that it
// repeats.
#pragma once

#include "base/messages.h"
#include "kernel/timerservice.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace Bluebellquay {

class HomePresence
{
public:
    struct Handlers
    {
        // The home is known from now on, or known anew after it was given up.
        std::function<void(Incarnation home)> known;
        // The home was alive at this time or later, and what it had sent before has arrived.
        std::function<void(Incarnation home, TimePoint at)> alive;
        // The home is given up: called while its name is still known.
        std::function<void(Incarnation home)> givenUp;
    };

    // Timers must outlive this object. Grace: the time for which a home without a link is waited
    // for.
    HomePresence(TimerService &timers, Duration grace, Handlers handlers)
        : m_timers(timers)
        , m_grace(grace)
        , m_handlers(std::move(handlers))
    { }

    void linkUp(const ProcessInfo &home);
    // The home was alive at this time or later, as its link tells.
    void linkAlive(Incarnation home, TimePoint at);
    void linkDown(Incarnation home);
    // The home has asked for its runs on its present link.
    void asked(Incarnation home);

    bool knows(Incarnation home) const { return m_homes.contains(home); }
    // Empty if the home is not known.
    std::string nameOf(Incarnation home) const;

private:
    void graceOver(Incarnation home);
    void giveUp(Incarnation home);

    TimerService &m_timers;
    Duration m_grace;
    Handlers m_handlers;
    std::map<Incarnation, ProcessInfo> m_homes;
    // Timers after which homes are given up, from the end of the link until the home has asked for
    // its runs on a new one.
    std::map<Incarnation, TimerSubscription> m_absent;
    // Homes in m_absent that have a link.
    std::set<Incarnation> m_unasked;
};

} // namespace Bluebellquay
