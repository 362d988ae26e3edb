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
#include "base/reasoncounts.h"
#include "core/capacityreporter.h"
#include "core/endevidence.h"
#include "core/retainedends.h"
#include "core/runcalls.h"
#include "core/runoutbox.h"
#include "core/timerheap.h"
#include "core/trackedruns.h"
#include "core/workercalls.h"
#include "core/workerhealth.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace Bluebellquay {

struct RunTrackerSettings
{
    // An order that has waited this long, for capacity or for the end of another run of its task,
    // is returned to its home, which may know a better worker. In microseconds, like all durations.
    Duration longestWait{250'000};
    // Ends are kept this long and sent again to homes that reconnect within it.
    Duration endRetention{8'000'000};
};

// Counters since the start of the process.
struct RunTrackerStatistics : RunCallStatistics
{
    std::uint64_t ordersReceived = 0;
    std::uint64_t ordersReturned = 0;
    std::uint64_t ordersEvacuated = 0;
    std::uint64_t started = 0;
    std::uint64_t workerRefusals = 0;
    std::uint64_t workerSilences = 0;
    std::uint64_t leasesExpired = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t stopped = 0;
    std::uint64_t lost = 0;
    std::uint64_t standstills = 0;
    std::uint64_t suspensions = 0;
    // Runs that were started, by what is known of their end.
    ReasonCounts<EndEvidence, AllEndEvidence.size()> evidence;

    void count(RunResult end, EndEvidence by)
    {
        evidence.add(by);
        done += end == RunResult::Done ? 1 : 0;
        failed += end == RunResult::Failed ? 1 : 0;
        stopped += end == RunResult::Stopped ? 1 : 0;
        lost += end == RunResult::Lost ? 1 : 0;
    }
};

class RunTracker
{
public:
    explicit RunTracker(RunTrackerSettings settings);

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
    void listingReceived(TimePoint now, const RunListing &account, RunOutbox &out);
    void startAnswered(TimePoint now, const RunKey &key, StartAnswer answer, RunOutbox &out);
    void stopAnswered(TimePoint now, const RunKey &key, bool answered, RunOutbox &out);

    // Orders of the home are accepted from now on, until homeSilent() is called for it: after that
    // nobody would stop their runs.
    void homeUp(Incarnation home);
    // A retired home keeps its runs, but no order of it is accepted any more. Its link is closed
    // when the runs have ended.
    void retireHome(TimePoint now, Incarnation home, bool retired, RunOutbox &out);
    bool holdsRunsOf(Incarnation home) const { return m_runs.anyOf(home); }
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
    bool idle() const { return m_runs.empty(); }
    std::size_t runs() const { return m_runs.size(); }

    void advance(TimePoint now, RunOutbox &out);
    std::optional<TimePoint> nextWakeup() const
    {
        return earliest(earliest(m_timers.next(), m_calls.nextWakeup()), m_reports.nextDue());
    }

    bool accepting(TimePoint now) const;
    // False until the worker is known to run nothing that an earlier incarnation of this agent has
    // started. The lease covers all that runs there: renewing it would keep those runs alive, for a
    // full lease after the death of this agent, when their home no longer expects them to run.
    bool mayRenewLease() const { return m_mayRenewLease; }
    const RunTrackerStatistics &statistics() const { return m_statistics; }
    // Capacity that neither started runs nor waiting orders take; for metrics and tests.
    ResourceNeed freeRoom() const;
    double slowdown() const { return m_watch.slowdown(); }

private:
    enum class TimerKind : std::uint8_t { Check, ForgetEnd };
    struct Timer
    {
        TimerKind kind;
        RunKey run;
    };

    void startWaiting(TimePoint now, RunOutbox &out);
    void end(TimePoint now, TrackedRuns::Runs::iterator position, RunResult how,
             EndEvidence evidence, RunOutbox &out);
    void endAll(TimePoint now, EndEvidence evidence, RunOutbox &out);
    // The run still waits: nothing of it was sent to the worker.
    void returnOrder(TimePoint now, TrackedRuns::Runs::iterator position, RunOutbox &out);
    void returnWaiting(TimePoint now, RunOutbox &out);
    // Returns the orders of the message that still wait. With keepPatient, those stay whose home
    // lets them wait, or whose task has another run here.
    void returnOrders(TimePoint now, Incarnation home, const StartRuns &message, bool keepPatient,
                      RunOutbox &out);
    static void refuseOrders(Incarnation home, const StartRuns &message, RunOutbox &out);
    // An order under a number that is in use or was used lately: nothing is started for it.
    void answerKnownOrder(Incarnation home, const RunKey &key, RunOutbox &out) const;
    // Stops the runs of the home and returns its waiting orders, except for those that are kept.
    void stopOthers(TimePoint now, Incarnation home, const std::set<RunKey> &kept, RunOutbox &out);
    void checkStandstill(TimePoint now, RunOutbox &out);
    void suspend(TimePoint now, std::string_view reason, RunOutbox &out);
    void logSuspension(TimePoint now, std::string_view reason) const;
    std::string_view workerName() const
    {
        return m_worker ? std::string_view(m_worker->identity.name) : std::string_view();
    }
    // Takes no orders until the worker answers again. Returns whether it took any before.
    bool closeUntilAnswer(TimePoint now, std::string_view reason, RunOutbox &out);
    void logUnavailable(TimePoint now, std::string_view reason) const;
    void adoptForeignRun(TimePoint now, const RunKey &key, TimePoint askedAt, RunOutbox &out);
    // The worker was replaced by another one. Runs that the earlier one is known to have run are
    // lost. Other started runs may have reached the new one and are stopped there.
    void replaceWorker(TimePoint now, RunOutbox &out);
    void reportRooms(TimePoint now, RunOutbox &out);
    WorkerRoom describeRoom(TimePoint now) const;
    void scheduleCheck(TimePoint at) { m_timers.schedule(at, Timer{TimerKind::Check, {}}); }

    RunTrackerSettings m_settings;
    RunTrackerStatistics m_statistics;
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
    // When the latest listing was requested.
    TimePoint m_lastListing{};
    TimePoint m_nextStandstillCheck{};
    WorkerHealth m_watch;
    TrackedRuns m_runs;
    RunCalls m_calls;
    RetainedEnds m_retainedEnds;
    CapacityReporter m_reports;
    TimerHeap<Timer> m_timers;
};

} // namespace Bluebellquay
