#include "core/taskqueue.h"

namespace Bluebellquay {

namespace {

// Bounds the memory of an agent; homes admit far less.
constexpr std::size_t MaxReservations = 20'000;
// Reservations looked at for one free slot before giving up.
constexpr std::size_t MaxScanned = 64;
// Waiting time that makes up for one unit of additional expected work.
constexpr int AgeingWeight = 8;
// Head start of a class. Work of a lower class that has waited longer than this goes first.
constexpr Duration UrgentHeadStart{60'000'000};
constexpr Duration BackgroundHandicap{30'000'000};

Duration classOffset(Urgency urgency)
{
    switch (urgency) {
    case Urgency::Urgent:
        return -UrgentHeadStart;
    case Urgency::Background:
        return BackgroundHandicap;
    case Urgency::Normal:
        break;
    }
    return Duration(0);
}

} // namespace

void TaskQueue::insert(Reservation &reservation)
{
    const Duration work = reservation.offer.expectedRunTime * reservation.offer.tasks;
    reservation.rank =
        reservation.arrived + work * AgeingWeight + classOffset(reservation.offer.urgency);
    const std::uint32_t open = reservation.open();
    if (open == 0)
        return;
    m_order.emplace(reservation.rank, reservation.offer.submission);
    m_queued[static_cast<std::size_t>(reservation.offer.urgency)] += open;
    m_work += reservation.offer.expectedRunTime * open;
}

void TaskQueue::erase(const Reservation &reservation)
{
    const std::uint32_t open = reservation.open();
    if (open == 0)
        return;
    m_order.erase(Position(reservation.rank, reservation.offer.submission));
    m_queued[static_cast<std::size_t>(reservation.offer.urgency)] -= open;
    m_work -= reservation.offer.expectedRunTime * open;
}

void TaskQueue::put(TimePoint now, Reserve offer)
{
    if (offer.tasks == 0) {
        remove(offer.submission);
        return;
    }
    const auto position = m_reservations.find(offer.submission);
    if (position == m_reservations.end() && m_reservations.size() >= MaxReservations)
        return;
    Reservation &reservation = m_reservations[offer.submission];
    erase(reservation);
    reservation.arrived = now - offer.age;
    reservation.offer = std::move(offer);
    insert(reservation);
}

void TaskQueue::remove(const SubmissionId &id)
{
    const auto position = m_reservations.find(id);
    if (position == m_reservations.end())
        return;
    erase(position->second);
    m_reservations.erase(position);
}

void TaskQueue::removeHome(Incarnation home)
{
    std::erase_if(m_reservations, [&](const auto &entry) {
        if (entry.first.home() != home)
            return false;
        erase(entry.second);
        return true;
    });
}

void TaskQueue::clear()
{
    m_reservations.clear();
    m_order.clear();
    m_queued = {};
    m_work = Duration(0);
}

void TaskQueue::setRemaining(const SubmissionId &id, std::uint32_t tasks)
{
    const auto position = m_reservations.find(id);
    if (position == m_reservations.end())
        return;
    if (tasks == 0) {
        remove(id);
        return;
    }
    erase(position->second);
    position->second.offer.tasks = tasks;
    insert(position->second);
}

void TaskQueue::addRequested(const SubmissionId &id, std::uint32_t tasks)
{
    const auto position = m_reservations.find(id);
    if (position == m_reservations.end())
        return;
    erase(position->second);
    position->second.requested += tasks;
    insert(position->second);
}

void TaskQueue::removeRequested(const SubmissionId &id, std::uint32_t tasks)
{
    const auto position = m_reservations.find(id);
    if (position == m_reservations.end())
        return;
    Reservation &reservation = position->second;
    erase(reservation);
    // No tasks have been requested from a reservation that was replaced in the meantime.
    reservation.requested -= std::min(reservation.requested, tasks);
    insert(reservation);
}

const Reservation *TaskQueue::find(const SubmissionId &id) const
{
    const auto position = m_reservations.find(id);
    return position == m_reservations.end() ? nullptr : &position->second;
}

const Reservation *TaskQueue::first(const std::function<bool(const Reservation &)> &accepts) const
{
    std::size_t scanned = 0;
    for (const auto &[rank, id] : m_order) {
        const Reservation &reservation = m_reservations.at(id);
        if (accepts(reservation))
            return &reservation;
        if (++scanned >= MaxScanned)
            break;
    }
    return nullptr;
}

} // namespace Bluebellquay
