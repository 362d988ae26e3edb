// Reservations of homes that wait for a free slot here, in the order of service: urgency class,
// then shortest expected work, with ageing. The rank of a reservation doesn't change with time,
// because waiting time and expected work are weighed against each other linearly.
#pragma once

#include "base/messages.h"

#include <array>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>

namespace Bluebellquay {

// A reservation and what was pulled of it.
struct Reservation
{
    Reserve offer;
    // Tasks that are asked for by outstanding pulls.
    std::uint32_t requested = 0;
    // When the submission arrived at its home, as far as known here.
    TimePoint arrived{};
    // Position in the queue; see TaskQueue.
    TimePoint rank{};

    // Tasks that may be left for a further pull.
    std::uint32_t open() const { return offer.tasks > requested ? offer.tasks - requested : 0; }
};

class TaskQueue
{
public:
    // Adds the reservation, or replaces the offer of the same submission. Does nothing if the queue
    // is full; homes repeat their offers.
    void put(TimePoint now, Reserve offer);
    void remove(const SubmissionId &id);
    void removeHome(Incarnation home);
    void clear();
    // The home has this many unbound tasks left; removes the reservation if none.
    void setRemaining(const SubmissionId &id, std::uint32_t tasks);
    void addRequested(const SubmissionId &id, std::uint32_t tasks);
    void removeRequested(const SubmissionId &id, std::uint32_t tasks);

    const Reservation *find(const SubmissionId &id) const;
    // The first reservation with open tasks that the predicate accepts, among the first few.
    const Reservation *first(const std::function<bool(const Reservation &)> &accepts) const;
    std::size_t size() const { return m_reservations.size(); }
    // Open tasks by class.
    std::array<std::uint32_t, UrgencyClasses> queuedTasks() const { return m_queued; }
    // Expected run time of all queued tasks.
    Duration queuedWork() const { return m_work; }

private:
    using Position = std::pair<TimePoint, SubmissionId>;

    void insert(Reservation &reservation);
    void erase(const Reservation &reservation);

    std::unordered_map<SubmissionId, Reservation> m_reservations;
    // Has the reservations with open tasks, in the order of service.
    std::set<Position> m_order;
    // Sums over m_order.
    std::array<std::uint32_t, UrgencyClasses> m_queued{};
    Duration m_work{0};
};

} // namespace Bluebellquay
