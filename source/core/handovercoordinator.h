// Handover of final answers at the planned stop of a home. The stopping home sends them to a
// successor; the successor answers for the homes that it has adopted.
#pragma once

#include "core/homestate.h"
#include "core/outbox.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Bluebellquay {

class HandoverCoordinator
{
public:
    explicit HandoverCoordinator(HomeState &state)
        : m_state(state)
    { }

    // The sending side; called again and again until done. No record may be made or changed after
    // the first call.
    void proceed(TimePoint now, Outbox &out);
    void acknowledged(Incarnation from, const HandoverAck &message, Outbox &out);
    bool begun() const { return m_begun; }
    bool done() const { return m_done; }

    // The receiving side.
    void adopt(Incarnation from, const Handover &message, Outbox &out);
    // True if all records of this home have arrived here.
    bool answersFor(Incarnation home) const;
    // Tells an entry that links which homes this agent answers for: the home itself told only the
    // entries that were linked when it stopped.
    void announceTo(Incarnation entry, Outbox &out) const;
    // Forgets homes whose records are no longer kept.
    void expire();
    std::size_t adoptedHomes() const { return m_adopted.size(); }

private:
    struct Adoption
    {
        std::set<std::uint32_t> parts;
        // Number of the last part; known when that part has arrived.
        std::optional<std::uint32_t> last;
        IssuePeriod keepUntil;
    };

    void prepare();
    bool chooseSuccessor(TimePoint now);
    void finish(Outbox &out);

    HomeState &m_state;
    std::map<Incarnation, Adoption> m_adopted;

    bool m_begun = false;
    bool m_done = false;
    TimePoint m_begunAt{};
    std::optional<Incarnation> m_successor;
    // Agents that did not acknowledge in time.
    std::set<Incarnation> m_unresponsive;
    std::vector<Handover> m_parts;
    // Positions in m_parts that the successor has not acknowledged.
    std::set<std::size_t> m_unacknowledged;
    std::uint32_t m_sendCount = 0;
    TimePoint m_nextSendAt{};
};

} // namespace Bluebellquay
