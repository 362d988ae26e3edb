// Priority queue of timers for a decision core. Timers can't be cancelled; the owner ignores those
// that no longer apply when they expire.
#pragma once

#include "base/coretime.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace Bluebellquay {

template <typename Key>
class TimerHeap
{
public:
    // Adds a timer that expires at this time.
    void schedule(TimePoint at, Key key)
    {
        m_entries.push_back(Entry{at, std::move(key)});
        std::push_heap(m_entries.begin(), m_entries.end(), later);
    }

    // Removes and returns the earliest timer that has expired; empty if there is none.
    std::optional<Key> popDue(TimePoint now)
    {
        if (m_entries.empty() || m_entries.front().at > now)
            return std::nullopt;
        std::pop_heap(m_entries.begin(), m_entries.end(), later);
        Key key = std::move(m_entries.back().key);
        m_entries.pop_back();
        return key;
    }

    // Expiry of the earliest timer; empty if there is none.
    std::optional<TimePoint> next() const
    {
        if (m_entries.empty())
            return std::nullopt;
        return m_entries.front().at;
    }

    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        TimePoint at;
        Key key;
    };
    static bool later(const Entry &a, const Entry &b) { return a.at > b.at; }

    // Heap with the earliest timer in front.
    std::vector<Entry> m_entries;
};

// Returns the earlier of two optional times; empty if both are.
inline std::optional<TimePoint> earliest(std::optional<TimePoint> a, std::optional<TimePoint> b)
{
    if (!a || !b)
        return a ? a : b;
    return std::min(*a, *b);
}

} // namespace Bluebellquay
