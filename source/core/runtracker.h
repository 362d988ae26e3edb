// Tracks, for one agent, the runs on its worker and the capacity that they take. Only the agent
// decides to start a run on its worker, and it decides here. A worker starts whatever it is told to
// start, so a run keeps its capacity from the start call until its end is certain: the worker lists
// the end, the worker refuses the start, or the lease of the run has expired.
//
// A home is the entry that holds the job of a run and has ordered the run. A run listing is the
// worker's list of running and ended runs.
//
// The class does no I/O and reads no clock: the process around it passes in messages, answers and
// the time, and carries out the effects in the RunOutbox.
#pragma once

#include "base/messages.h"
#include "core/capacityreporter.h"
#include "core/homecontacts.h"
#include "core/runoutbox.h"
#include "core/runsupervisor.h"
#include "core/workercalls.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace Bluebellquay {

class RunTracker
{
public:
    explicit RunTracker(RunTrackerSettings settings);
    RunTracker(const RunTracker &) = delete;
    RunTracker &operator=(const RunTracker &) = delete;

    // The worker has announced itself, for the first time or again. With another identity than
    // before it must have answered in the place of the previous life: everything that ran there is
    // gone.
    void workerAnnounced(TimePoint now, const WorkerProfile &profile, RunOutbox &out);
    // The worker was said to leave. No order is accepted until it answers; its runs may go on.
    void workerLeaves(TimePoint now, RunOutbox &out);
    // The worker has left: its runs have ended, or will with their lease.
    void workerLeft(TimePoint now, RunOutbox &out);
    // Nothing listens at the worker's address: it has crashed, or is cut off with its runs going
    // on. No order is accepted until it answers; its runs end with their lease or with its next
    // life.
    void workerRefused(TimePoint now, RunOutbox &out);
    // The worker answers no call. No order is accepted until it does; its runs may go on.
    void workerSilent(TimePoint now, RunOutbox &out);
    // No call has reached the worker for so long that its lease has expired.
    void leaseExpired(TimePoint now, RunOutbox &out);
    void listingReceived(TimePoint now, const RunListing &listing, RunOutbox &out);
    void startAnswered(TimePoint now, const RunKey &key, StartAnswer answer, RunOutbox &out);
    void stopAnswered(TimePoint now, const RunKey &key, bool answered, RunOutbox &out);

    // Orders of the home are accepted while it is in touch from now on, until homeSilent() is
    // called for it: after that nobody would stop their runs.
    void homeUp(TimePoint now, Incarnation home);
    // The home was alive at this time or later, and what it had sent before was handled, with the
    // stops that it repeats on a new link.
    void homeAlive(TimePoint now, Incarnation home, TimePoint at, RunOutbox &out);
    std::optional<TimePoint> latestContact(Incarnation home) const
    {
        return m_contacts.latest(home);
    }
    // A retired home keeps its runs, but no order of it is accepted any more. Its link is closed
    // when the runs have ended.
    void retireHome(TimePoint now, Incarnation home, bool retired, RunOutbox &out);
    bool holdsRunsOf(Incarnation home) const { return tracked().anyOf(home); }
    void handle(TimePoint now, Incarnation home, const StartRuns &message, RunOutbox &out);
    void handle(TimePoint now, Incarnation home, const StopRuns &message, RunOutbox &out);
    void handle(TimePoint now, Incarnation home, const RunsAtAgent &message, RunOutbox &out);
    // The link to the home has been down for the agreed time: stops its runs and drops its waiting
    // orders.
    void homeSilent(TimePoint now, Incarnation home, RunOutbox &out);

    // The machine was suspended for so long that homes may have given this agent up and ordered its
    // runs elsewhere. The steady clocks of this agent and of the worker do not count that time, so
    // neither the lease nor the absence of a home has ended these runs: all are stopped.
    void machineSuspended(TimePoint now, RunOutbox &out);

    // While evacuated, orders are returned: none is started. Runs that have been started go on to
    // their end.
    void setEvacuated(TimePoint now, bool evacuated, RunOutbox &out);

    // Accepts no further orders and returns the waiting ones; running runs go on to their end.
    void beginStop(TimePoint now, RunOutbox &out);
    bool idle() const { return tracked().empty(); }
    std::size_t runs() const { return tracked().size(); }

    void advance(TimePoint now, RunOutbox &out);
    std::optional<TimePoint> nextWakeup() const
    {
        return earliest(earliest(m_supervisor.nextWakeup(), m_reports.nextDue()),
                        m_contacts.nextExpiry());
    }

    bool accepting(TimePoint now) const;
    // False until the worker is known to run nothing that an earlier incarnation of this agent has
    // started. The lease covers all that runs there: renewing it would keep those runs alive, for a
    // full lease after the death of this agent, when their home no longer expects them to run.
    bool mayRenewLease() const { return m_mayRenewLease; }
    // A lease must not last longer. Nothing if no run limits it.
    std::optional<TimePoint> leaseLimit() const { return m_supervisor.leaseLimit().of(tracked()); }
    // No lease that the worker may have lasts longer. To be told before each other call that may
    // start a run, since a run begins only under a lease that ends within its limit.
    void setLeaseEnd(TimePoint latest) { m_supervisor.setLeaseEnd(latest); }
    const RunTrackerStatistics &statistics() const { return m_supervisor.statistics(); }
    // Capacity that neither started runs nor waiting orders take; for metrics and tests.
    ResourceNeed freeRoom() const;
    const RoomClaims &claims() const { return m_reports.claims(); }
    double slowdown() const { return m_supervisor.health().slowdown(); }

private:
    void startWaiting(TimePoint now, RunOutbox &out);
    // Stops the runs of homes that have gone out of touch. Returns whether there are any.
    bool loseHomes(TimePoint now, RunOutbox &out);
    // Returns the orders of the message that still wait. With keepPatient, those stay that may.
    void returnOrders(TimePoint now, Incarnation home, const StartRuns &message, bool keepPatient,
                      RunOutbox &out);
    // Whether an order that can't start yet may stay: its home lets it wait, its task has another
    // run here, or it waits for a contact.
    bool mayStay(TimePoint now, const RunOrder &order, const RunKey &key, const TrackedRun &run);
    static RoomClaim claimOf(TimePoint now, const StartRuns &message, const RunOrder &order);
    bool anyStarted(const StartRuns &message) const;
    // The order could start but for the lease: it waits for a contact to its home, which comes
    // within a round trip if the home is alive.
    bool waitsForContact(const TrackedRun &run) const;
    static void refuseOrders(Incarnation home, const StartRuns &message, RunOutbox &out);
    // An order under a number that is in use or was used lately: nothing is started for it.
    void answerKnownOrder(Incarnation home, const RunKey &key, RunOutbox &out) const;
    // Takes no orders until the worker answers again. Returns whether it took any before.
    bool closeUntilAnswer(TimePoint now, std::string_view reason, RunOutbox &out);
    const TrackedRuns &tracked() const { return m_supervisor.runs(); }
    // Another life of the worker has answered in the place of the previous one.
    void replaceWorker(TimePoint now, RunOutbox &out);
    void reportRooms(TimePoint now, RunOutbox &out);
    WorkerRoom describeRoom(TimePoint now) const;

    std::optional<WorkerProfile> m_worker;
    bool m_stopping = false;
    bool m_evacuated = false;
    // A listing of the present worker has arrived whose running runs could all be read, so that
    // runs of earlier incarnations of this agent are known.
    bool m_listingReceived = false;
    // The worker does not answer, or was said to leave.
    bool m_silent = false;
    // A listing of the present worker showed no run of an earlier incarnation of this agent that is
    // still to be ended.
    bool m_mayRenewLease = false;
    HomeContacts m_contacts;
    RunSupervisor m_supervisor;
    CapacityReporter m_reports;
};

} // namespace Bluebellquay
