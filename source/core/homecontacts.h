// When each home of an agent was surely alive last. A home shows it by its answer to what the agent
// has sent: it was alive at the time of sending, by the agent's own clock, however late the answer
// is read. A message that a home sends by itself shows nothing of the kind: it may have lain in the
// agent's socket, or in the network, since the home died.
#pragma once

#include "base/coretime.h"
#include "base/messages.h"

#include <map>
#include <optional>
#include <vector>

namespace Bluebellquay {

class HomeContacts
{
public:
    // A home is in touch for this long after its latest contact.
    explicit HomeContacts(Duration inTouchFor)
        : m_inTouchFor(inTouchFor)
    { }

    // A home that was not known before has no contact yet.
    void homeUp(Incarnation home) { m_homes.try_emplace(home); }
    void homeGone(Incarnation home) { m_homes.erase(home); }
    // The home was alive at this time or later. Returns whether it is in touch now and was not
    // before.
    bool alive(TimePoint now, Incarnation home, TimePoint at);
    // Returns the homes that have gone out of touch since the last call.
    std::vector<Incarnation> expire(TimePoint now);
    // When the next home goes out of touch; nothing if none is in touch.
    std::optional<TimePoint> nextExpiry() const;

    bool inTouch(TimePoint now, Incarnation home) const;
    // The latest contact; nothing if there was none.
    std::optional<TimePoint> latest(Incarnation home) const;

private:
    struct Home
    {
        std::optional<TimePoint> latest;
        // Since the last call of expire(), until it says otherwise.
        bool inTouch = false;
    };

    bool recent(TimePoint now, const Home &home) const
    {
        return home.latest && now < *home.latest + m_inTouchFor;
    }

    Duration m_inTouchFor;
    std::map<Incarnation, Home> m_homes;
};

} // namespace Bluebellquay
