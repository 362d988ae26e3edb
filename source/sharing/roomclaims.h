// Keeps freed room of a full worker for the order that should start next, whichever home has it.
// Called by the agent that owns the worker.
//
// The load is a crest in which several homes wait for the same workers. The home whose run has
// ended hears of the room first, with the end, and homes that are near hear of it before those that
// are far. Without claims they take all of it, and the others refuse jobs that are as urgent.
//
// An order that is returned for want of room is a claim. The best claim goes by the order in which
// a home places its own tasks: jobs that can still be done in time first, then the priority, then
// the latest start. When room for it is free, the agent reports this to its home alone and
// withholds it from the reports to the others, until the home has ordered or for a few
// milliseconds. The claim ends then: if the home, its link or its order is lost, the room is idle
// for this long and no longer.
#pragma once

#include "base/coretime.h"
#include "base/submissionid.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

namespace Bluebellquay {

// Sort key of claims; the smallest is served first.
struct ClaimRank
{
    // The job can't be done by its objective any more.
    bool late = false;
    // Of the queue; zero is most urgent.
    std::uint32_t priority = 0;
    TimePoint latestStart{};

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted comparison.
    friend auto operator<=>(const ClaimRank &, const ClaimRank &) = default;
};

struct RoomClaim
{
    ClaimRank rank;
    // Processors, in thousandths, with those that must stay free.
    std::uint32_t milliProcessors = 0;
};

class RoomClaims
{
public:
    // 100 ms. A home that has ordered in vain retries within a few milliseconds of each report.
    static constexpr Duration ClaimDuration{100'000};
    // 6 ms: a report and an order between data centres, and their batches.
    static constexpr Duration ReservationDuration{6'000};

    // An order of the home found no room. Of several, the best one counts.
    void returned(TimePoint now, Incarnation home, const RoomClaim &claim);
    // A run of the home has started. It probably has more orders as urgent, so its claim goes on.
    void taken(Incarnation home);
    void remove(Incarnation home);

    // Drops what has run out, and reserves room for the best claim if this much is free.
    void update(TimePoint now, std::uint32_t freeMilliProcessors);
    // The home for which room is reserved.
    std::optional<Incarnation> reservedFor() const { return m_reserved; }
    // Processors, in thousandths, that a report to this home leaves out.
    std::uint32_t withheldFrom(Incarnation home) const;
    // Times that room was reserved, and times that its home did not order in time.
    std::uint64_t reservations() const { return m_reservations; }
    std::uint64_t unusedReservations() const { return m_unusedReservations; }
    // When the reservation runs out.
    std::optional<TimePoint> nextExpiry() const;

private:
    struct Entry
    {
        RoomClaim claim;
        TimePoint until{};
    };

    std::map<Incarnation, Entry> m_claims;
    // Has a claim.
    std::optional<Incarnation> m_reserved;
    TimePoint m_reservedUntil{};
    std::uint64_t m_reservations = 0;
    std::uint64_t m_unusedReservations = 0;
};

} // namespace Bluebellquay
