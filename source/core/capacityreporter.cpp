#include "core/capacityreporter.h"

#include <algorithm>
#include <utility>

namespace Bluebellquay {

void CapacityReporter::homeUp(Incarnation home)
{
    m_shares.homeUp(home);
    if (m_homes.try_emplace(home).second)
        homesChanged();
}

void CapacityReporter::homeGone(Incarnation home)
{
    m_shares.homeGone(home);
    m_claims.remove(home);
    if (m_homes.erase(home) > 0)
        homesChanged();
}

void CapacityReporter::retire(Incarnation home, bool retired)
{
    const auto position = m_homes.find(home);
    if (position != m_homes.end())
        position->second.retired = retired;
}

bool CapacityReporter::retired(Incarnation home) const
{
    const auto position = m_homes.find(home);
    return position != m_homes.end() && position->second.retired;
}

void CapacityReporter::setInTouch(Incarnation home, bool inTouch)
{
    const auto position = m_homes.find(home);
    if (position != m_homes.end())
        position->second.inTouch = inTouch;
}

void CapacityReporter::homesChanged()
{
    for (auto &[incarnation, home] : m_homes)
        home.outdated = true;
}

void CapacityReporter::orderReceived(Incarnation home, OrderNumber order)
{
    Home &sender = m_homes[home];
    sender.lastOrder = std::max(sender.lastOrder, order);
    sender.outdated = true;
}

void CapacityReporter::changed(TimePoint now, const WorkerRoom &room,
                               const std::set<Incarnation> &writtenTo, Messages &messages)
{
    const bool news = !(room == m_latest);
    m_latest = room;
    const std::optional<Incarnation> reservedFor = reserve(now, room);
    for (auto &[incarnation, home] : m_homes) {
        const bool otherState = home.toldAccepting != accepting(home, room)
            || home.toldProbation != room.probation || home.toldSettled != room.settled;
        home.outdated = home.outdated || news;
        const bool turn = writtenTo.contains(incarnation) || now >= home.toldAt + interval();
        if (otherState || (home.outdated && turn) || incarnation == reservedFor)
            tell(now, incarnation, home, room, messages);
    }
}

std::optional<Incarnation> CapacityReporter::reserve(TimePoint now, const WorkerRoom &room)
{
    m_claims.update(now, room.free.milliProcessors);
    const std::optional<Incarnation> reserved = m_claims.reservedFor();
    if (reserved == std::exchange(m_reservedBefore, reserved))
        return std::nullopt;
    // What is withheld has changed.
    homesChanged();
    return reserved;
}

void CapacityReporter::tell(TimePoint now, Incarnation home, const WorkerRoom &room,
                            Messages &messages)
{
    tell(now, home, m_homes[home], room, messages);
}

void CapacityReporter::tellDue(TimePoint now, const WorkerRoom &room, Messages &messages)
{
    reserve(now, room);
    for (auto &[incarnation, home] : m_homes) {
        if (home.outdated && now >= home.toldAt + interval())
            tell(now, incarnation, home, room, messages);
    }
}

std::optional<TimePoint> CapacityReporter::nextDue() const
{
    std::optional<TimePoint> next = m_claims.nextExpiry();
    for (const auto &[incarnation, home] : m_homes) {
        if (home.outdated)
            next = std::min(next.value_or(TimePoint::max()), home.toldAt + interval());
    }
    return next;
}

void CapacityReporter::tell(TimePoint now, Incarnation incarnation, Home &home,
                            const WorkerRoom &room, Messages &messages)
{
    home.toldAt = now;
    home.outdated = false;
    home.toldAccepting = accepting(home, room);
    home.toldProbation = room.probation;
    home.toldSettled = room.settled;
    WorkerRoom report = room;
    report.accepting = accepting(home, room);
    report.sequence = ++m_sequence;
    report.free.milliProcessors -=
        std::min(report.free.milliProcessors, m_claims.withheldFrom(incarnation));
    report.homes = homesOf(now, incarnation, room);
    report.lastOrder = home.lastOrder;
    messages.emplace_back(incarnation, std::move(report));
}

std::uint32_t CapacityReporter::homesOf(TimePoint now, Incarnation home,
                                        const WorkerRoom &room) const
{
    if (!m_lendRoom)
        return static_cast<std::uint32_t>(m_homes.size());
    return equalHomes(m_shares.shareOf(now, home, room.total.milliProcessors), m_sequence);
}

} // namespace Bluebellquay
