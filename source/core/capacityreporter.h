// Decides when an agent reports the capacity of its worker to each home. With many short runs of
// many homes, a report to every home after every change would cost each home a message for every
// run of all the others.
//
// A home gets a report at once when its own run has ended, since it is sent a message anyway, and
// when the worker starts or stops accepting orders. Other changes are reported after an interval
// that grows with the number of homes, so that the rate of reports of one agent is bounded.
#pragma once

#include "base/coretime.h"
#include "base/messages.h"
#include "sharing/roomclaims.h"
#include "sharing/roomshares.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Bluebellquay {

class CapacityReporter
{
public:
    using Messages = std::vector<std::pair<Incarnation, Message>>;

    // The interval between two reports to one home is this multiplied by the number of homes, which
    // bounds the reports of an agent to 200 a second.
    static constexpr Duration IntervalPerHome{5'000};

    // With lendRoom, reports tell each home its share by what the homes use, else an equal one.
    explicit CapacityReporter(bool lendRoom = false)
        : m_lendRoom(lendRoom)
    { }

    void homeUp(Incarnation home);
    void homeGone(Incarnation home);
    bool knows(Incarnation home) const { return m_homes.contains(home); }
    // Reports to a retired home say that the worker accepts no orders.
    void retire(Incarnation home, bool retired);
    bool retired(Incarnation home) const;
    // The same for a home that is out of touch.
    void setInTouch(Incarnation home, bool inTouch);
    void orderReceived(Incarnation home, OrderNumber order);
    // An order of the home found no room.
    void orderReturned(TimePoint now, Incarnation home, const RoomClaim &claim)
    {
        if (m_lendRoom)
            m_claims.returned(now, home, claim);
    }
    const RoomClaims &claims() const { return m_claims; }
    // A run of the home has started.
    void orderTaken(Incarnation home) { m_claims.taken(home); }
    // Tells what the runs of each home hold, as a function of the home in thousandths of a
    // processor.
    template <typename HeldBy>
    void updateUse(TimePoint now, const HeldBy &heldBy)
    {
        if (!m_lendRoom)
            return;
        for (const auto &[incarnation, home] : m_homes)
            m_shares.holds(now, incarnation, heldBy(incarnation));
    }

    // The capacity may have changed, or an order was received: sends reports to the homes that are
    // due. Homes in writtenTo get another message at this time, so their report is not delayed.
    void changed(TimePoint now, const WorkerRoom &room, const std::set<Incarnation> &writtenTo,
                 Messages &messages);
    // Sends a report to this home, also if nothing has changed since the last one.
    void tell(TimePoint now, Incarnation home, const WorkerRoom &room, Messages &messages);
    // Sends reports to the outdated homes whose interval has passed.
    void tellDue(TimePoint now, const WorkerRoom &room, Messages &messages);
    // When the next report is due; nothing if no home is outdated.
    std::optional<TimePoint> nextDue() const;

private:
    struct Home
    {
        OrderNumber lastOrder;
        TimePoint toldAt{};
        // A change has not been reported to the home yet.
        bool outdated = false;
        bool retired = false;
        bool inTouch = true;
        // Values in the latest report to the home.
        bool toldAccepting = false;
        bool toldProbation = false;
        bool toldSettled = false;
    };

    // Marks all homes outdated: reports contain the number of homes that share the worker.
    void homesChanged();
    Duration interval() const { return IntervalPerHome * static_cast<int>(m_homes.size()); }
    void tell(TimePoint now, Incarnation incarnation, Home &home, const WorkerRoom &room,
              Messages &messages);
    static bool accepting(const Home &home, const WorkerRoom &room)
    {
        return room.accepting && !home.retired && home.inTouch;
    }

    // Withholds room for the home that is worst off. Returns that home if the room has just been
    // reserved for it.
    std::optional<Incarnation> reserve(TimePoint now, const WorkerRoom &room);
    // The homes among which the receiving one would have an equal share of what it may count on.
    std::uint32_t homesOf(TimePoint now, Incarnation home, const WorkerRoom &room) const;

    bool m_lendRoom;
    std::map<Incarnation, Home> m_homes;
    RoomShares m_shares;
    RoomClaims m_claims;
    // The home for which room was reserved at the latest change.
    std::optional<Incarnation> m_reservedBefore;
    // State at the latest change, without the fields that differ between homes.
    WorkerRoom m_latest;
    std::uint64_t m_sequence = 0;
};

} // namespace Bluebellquay
