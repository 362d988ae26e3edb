// Starts the runs that wait for capacity of one worker, stops runs, and ends them when there is
// evidence that they are over. Judges the worker by the ends, and keeps these for homes that ask
// again. RunTracker tells it what homes order and what the worker says.
#pragma once

#include "core/endevidence.h"
#include "core/homecontacts.h"
#include "core/leaselimit.h"
#include "core/retainedends.h"
#include "core/runcalls.h"
#include "core/runoutbox.h"
#include "core/runtrackerstatistics.h"
#include "core/timerheap.h"
#include "core/trackedruns.h"
#include "core/workercalls.h"
#include "core/workerhealth.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Bluebellquay {

struct RunTrackerSettings
{
    // An order that has waited this long, for capacity or for the end of another run of its task,
    // is returned to its home, which may know a better worker. In microseconds, like all durations.
    Duration longestWait{250'000};
    // Ends are kept this long and sent again to homes that reconnect within it.
    Duration endRetention{8'000'000};
    // Within this time after the latest contact to their home, or after the home has released them,
    // runs are over.
    Duration runsOverAfter{1'200'000};
    // A home without contact for this long gets no more work done: its runs are stopped before they
    // shorten the lease of all others on the worker.
    Duration homeInTouchFor{1'050'000};
    // Homes that take less of the worker than others lend their share of it; see
    // sharing/roomshares.
    bool lendRoom = false;
};

class RunSupervisor
{
public:
    // Contacts must outlive this object.
    RunSupervisor(RunTrackerSettings settings, const HomeContacts &contacts)
        : m_settings(settings)
        , m_contacts(contacts)
        , m_leaseLimit(settings.runsOverAfter, contacts)
    { }

    // No lease that the worker may have lasts longer.
    void setLeaseEnd(TimePoint latest) { m_leaseEnd = latest; }
    TimePoint leaseEnd() const { return m_leaseEnd; }
    const LeaseLimit &leaseLimit() const { return m_leaseLimit; }
    // Whether the lease that the worker may have ends within the limit of this waiting run. Else
    // the run waits for a later contact to its home.
    bool leaseAllowsStart(const TrackedRun &run) const
    {
        return m_leaseLimit.allowsStart(run, m_leaseEnd);
    }

    // Adds a run that waits for capacity.
    void addWaiting(TimePoint now, Incarnation home, const StartRuns &message,
                    const RunOrder &order);
    // Starts the waiting runs that fit into this total capacity and whose limit the lease keeps, in
    // their order.
    void startWaiting(TimePoint now, const ResourceNeed &room, RunOutbox &out);
    // The run still waits: nothing of it was sent to the worker.
    void returnOrder(TimePoint now, TrackedRuns::Runs::iterator position, RunOutbox &out);
    void returnWaiting(TimePoint now, RunOutbox &out);
    // Its home has released the run: returns it if it waits, and stops it otherwise.
    void stop(TimePoint now, TrackedRuns::Runs::iterator position, RunOutbox &out);
    // Stops the runs of the home, except for those that are kept.
    void stopOthers(TimePoint now, Incarnation home, const std::set<RunKey> &kept, RunOutbox &out);
    void stopAll(TimePoint now, RunOutbox &out);

    // Returns whether the answer has ended the run.
    bool startAnswered(TimePoint now, const RunKey &key, StartAnswer answer, RunOutbox &out);
    void stopAnswered(TimePoint now, const RunKey &key, bool answered, RunOutbox &out);
    // A listing of the present worker.
    void listingReceived(TimePoint now, const RunListing &listing, RunOutbox &out);
    // Every lease of the runs has run out.
    void leaseExpired(TimePoint now, RunOutbox &out);
    // The worker was replaced by another one. Runs that the earlier one is known to have run are
    // lost. Other started runs may have reached the new one and are stopped there.
    void workerReplaced(TimePoint now, RunOutbox &out);

    // Repeats unanswered calls, and returns orders that have waited for too long. Returns whether
    // other orders may start now. Exceeded: the worker's capacity has shrunk below what runs hold.
    bool advance(TimePoint now, bool exceeded, RunOutbox &out);
    std::optional<TimePoint> nextWakeup() const
    {
        return earliest(m_timers.next(), m_calls.nextWakeup());
    }

    TrackedRuns &runs() { return m_runs; }
    const TrackedRuns &runs() const { return m_runs; }
    const RetainedEnds &retainedEnds() const { return m_retainedEnds; }
    const WorkerHealth &health() const { return m_health; }
    RunTrackerStatistics &statistics() { return m_statistics; }
    const RunTrackerStatistics &statistics() const { return m_statistics; }
    // Name of the worker in log lines.
    void setWorkerName(std::string name) { m_workerName = std::move(name); }
    void logUnavailable(TimePoint now, std::string_view reason) const;

private:
    enum class TimerKind : std::uint8_t { Check, ForgetEnd };
    struct Timer
    {
        TimerKind kind;
        RunKey run;
    };

    void end(TimePoint now, TrackedRuns::Runs::iterator position, RunResult how,
             EndEvidence evidence, RunOutbox &out);
    // Updates the judgement of the worker after the end of a run that it had started.
    void judge(TimePoint now, const TrackedRun &run, const EndedRun &ended, RunOutbox &out);
    void adoptForeignRun(TimePoint now, const RunKey &key, TimePoint askedAt, RunOutbox &out);
    void checkStandstill(TimePoint now, RunOutbox &out);
    void suspend(TimePoint now, std::string_view reason, RunOutbox &out);
    // The worker has been suspended: returns what waits, and schedules the trial of the worker.
    void suspended(TimePoint now, std::string_view reason, RunOutbox &out);
    void scheduleCheck(TimePoint at) { m_timers.schedule(at, Timer{TimerKind::Check, {}}); }

    // The run's home no longer counts it, since the latest contact at the earliest: the word of it
    // may have been read late.
    void release(TimePoint now, TrackedRun &run);

    RunTrackerSettings m_settings;
    const HomeContacts &m_contacts;
    LeaseLimit m_leaseLimit;
    TimePoint m_leaseEnd{};
    RunTrackerStatistics m_statistics;
    std::string m_workerName;
    // When the latest listing was requested.
    TimePoint m_lastListing{};
    TimePoint m_nextStandstillCheck{};
    WorkerHealth m_health;
    TrackedRuns m_runs;
    RunCalls m_calls;
    RetainedEnds m_retainedEnds;
    TimerHeap<Timer> m_timers;
};

} // namespace Bluebellquay
