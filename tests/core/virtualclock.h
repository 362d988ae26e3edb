// The event queue of a simulated site. Events of the same time run in the order of their creation.
#pragma once

#include "base/coretime.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace Bluebellquay {

class VirtualClock
{
public:
    TimePoint now() const { return m_now; }

    void at(TimePoint time, std::function<void()> action)
    {
        m_events.push_back(Event{std::max(time, m_now), ++m_number, std::move(action)});
        std::push_heap(m_events.begin(), m_events.end(), later);
    }

    // Handles all events up to this time.
    void run(TimePoint until)
    {
        while (!m_events.empty() && m_events.front().time <= until) {
            std::pop_heap(m_events.begin(), m_events.end(), later);
            const Event event = std::move(m_events.back());
            m_events.pop_back();
            m_now = event.time;
            event.action();
        }
        m_now = until;
    }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t number;
        std::function<void()> action;
    };
    static bool later(const Event &a, const Event &b)
    {
        return std::pair(a.time, a.number) > std::pair(b.time, b.number);
    }

    TimePoint m_now{};
    std::uint64_t m_number = 0;
    // A heap with the earliest event in front.
    std::vector<Event> m_events;
};

} // namespace Bluebellquay
