// The calls that start one run on its worker. Workers may leave calls without an answer and carry
// some of them out late, and waiting for an answer that does not come would cost a job more time
// than it has.
//
// A start without an answer is repeated under the same run number. That can't make the run start
// twice: the worker knows a run that it runs already, and refuses one that has been stopped or has
// ended there, or whose lease would be over.
#pragma once

#include "base/coretime.h"

#include <cstdint>

namespace Bluebellquay {

class StartAttempts
{
public:
    // A worker on the same machine answers within a few milliseconds.
    static constexpr Duration RepeatInterval{10'000};
    // After this time the run is stopped instead, and ordered elsewhere.
    static constexpr Duration GivenUpAfter{90'000};

    void sent(TimePoint now)
    {
        if (m_sent++ == 0)
            m_first = now;
        ++m_unresolved;
    }
    // The worker has answered a call, or can't have seen it.
    void settled() { --m_unresolved; }
    // The worker has said that the run has begun.
    void begun() { m_begun = true; }
    bool hasBegun() const { return m_begun; }

    // More than one call was sent.
    bool repeated() const { return m_sent > 1; }
    bool givenUp(TimePoint now) const { return now >= m_first + GivenUpAfter; }
    // Calls that the worker may yet carry out, or may have carried out unseen.
    bool anyUnresolved() const { return m_unresolved > 0; }
    // Every call was refused or never sent. Of a run that has begun a repeat is refused, too.
    bool allRefused() const { return !m_begun && m_unresolved == 0; }

private:
    TimePoint m_first{};
    std::uint32_t m_sent = 0;
    // At most m_sent.
    std::uint32_t m_unresolved = 0;
    bool m_begun = false;
};

} // namespace Bluebellquay
