#include "sharing/roomclaims.h"

#include <algorithm>

namespace Bluebellquay {

void RoomClaims::returned(TimePoint now, Incarnation home, const RoomClaim &claim)
{
    const auto [position, added] = m_claims.try_emplace(home, Entry{claim, {}});
    Entry &entry = position->second;
    if (!added && (now >= entry.until || claim.rank < entry.claim.rank))
        entry.claim = claim;
    entry.until = now + ClaimDuration;
}

void RoomClaims::taken(Incarnation home)
{
    if (m_reserved == home)
        m_reserved.reset();
}

void RoomClaims::remove(Incarnation home)
{
    m_claims.erase(home);
    if (m_reserved == home)
        m_reserved.reset();
}

void RoomClaims::update(TimePoint now, std::uint32_t freeMilliProcessors)
{
    if (m_reserved && now >= m_reservedUntil) {
        ++m_unusedReservations;
        remove(*m_reserved);
    }
    if (m_reserved)
        return;
    std::erase_if(m_claims, [now](const auto &item) { return now >= item.second.until; });
    const auto best =
        std::min_element(m_claims.begin(), m_claims.end(), [](const auto &a, const auto &b) {
            return a.second.claim.rank < b.second.claim.rank;
        });
    if (best == m_claims.end() || best->second.claim.milliProcessors > freeMilliProcessors)
        return;
    ++m_reservations;
    m_reserved = best->first;
    m_reservedUntil = now + ReservationDuration;
}

std::uint32_t RoomClaims::withheldFrom(Incarnation home) const
{
    return m_reserved && *m_reserved != home ? m_claims.at(*m_reserved).claim.milliProcessors : 0;
}

std::optional<TimePoint> RoomClaims::nextExpiry() const
{
    return m_reserved ? std::optional(m_reservedUntil) : std::nullopt;
}

} // namespace Bluebellquay
