// The runs that one agent knows: those that wait for capacity of its worker, in the order in which
// they should start, and those that have been started, with the capacity that they hold. A started
// run holds its capacity until it is removed.
#pragma once

#include "base/messages.h"
#include "core/endevidence.h"
#include "core/heldcapacity.h"
#include "core/standstill.h"
#include "core/startattempts.h"
#include "core/trackerlog.h"
#include "core/workercalls.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Bluebellquay {

enum class RunState : std::uint8_t {
    Waiting,  // waits for capacity; no start has been sent
    Ordered,  // the start has been sent
    Running,  // the worker has confirmed it
    Stopping, // a stop has been sent; it may run, or may never start
};

// Order of the waiting runs: priority of the queue, zero first, then the time by which the job
// should be done.
using WaitingRank = std::pair<std::uint32_t, TimePoint>;

struct TrackedRun
{
    // Zero if a previous incarnation of the agent started the run.
    Incarnation home;
    RunState state = RunState::Waiting;
    ResourceNeed need;
    // Processors, in thousandths, that must stay free when it starts.
    std::uint32_t keepFree = 0;
    // Expected run time.
    Duration expected{0};
    WaitingRank rank;
    // When the order arrived.
    TimePoint received;
    TimePoint started;
    // When the worker confirmed that it runs. Listings that were requested earlier may lack the
    // run, because answers on different connections overtake each other.
    TimePoint confirmed;
    // A listing of the present worker has contained it. If its start was repeated, one that was
    // asked for after the latest accepted call: the answer to a start does not name the life of the
    // worker that gives it, and the next life may have accepted the repeat.
    bool listed = false;
    // When a repeated start was accepted last.
    TimePoint accepted;
    StartAttempts attempts;
    unsigned stopsSent = 0;
    // Started on an earlier life of the worker, and not known to be over: a call to start it may
    // have reached the present life.
    bool ofEarlierLife = false;
    // When the worker confirmed a stop. A listing that was requested later and lacks the run proves
    // its end.
    std::optional<TimePoint> stopConfirmed;
    // Latest contact to the home before the agent learned that the home no longer counts it.
    std::optional<TimePoint> released;
    // Kept until the worker has confirmed the run, so that the start can be repeated.
    std::string payload;

    // A run that has been ordered with this message and waits for capacity.
    static TrackedRun waiting(TimePoint now, Incarnation home, const StartRuns &message,
                              const RunOrder &order);
    // Whether a previous incarnation of the agent started the run.
    bool foreign() const { return home == Incarnation(); }
    // A start has been sent, and the worker has not confirmed that the run has begun.
    bool unconfirmed() const { return state != RunState::Waiting && !attempts.hasBegun(); }
    // The worker has confirmed that it runs. A run that is being stopped remains so.
    void confirm(TimePoint now);
    // The worker has accepted a start.
    void accept(TimePoint now);
    // The home no longer counts it since then, at the earliest.
    void releaseAt(TimePoint at) { released = std::min(released.value_or(at), at); }
    // A listing that was asked for then contains it.
    void list(TimePoint askedAt) { listed = listed || askedAt >= accepted; }
    // How the run has ended if its worker is gone. One that the worker has not confirmed may have
    // been refused, so it does not count as lost with the worker.
    RunResult resultWithoutWorker() const;
    // How the run has ended if the worker does not list it after a stop was confirmed. One that has
    // begun ended with an earlier life of the worker.
    RunResult resultIfMissingAfterStop() const;
};

class TrackedRuns
{
public:
    using Runs = std::map<RunKey, TrackedRun>;
    using Waiting = std::set<std::pair<WaitingRank, RunKey>>;

    Runs::iterator begin() { return m_runs.begin(); }
    Runs::iterator end() { return m_runs.end(); }
    Runs::const_iterator begin() const { return m_runs.begin(); }
    Runs::const_iterator end() const { return m_runs.end(); }
    Runs::iterator find(const RunKey &key) { return m_runs.find(key); }
    bool contains(const RunKey &key) const { return m_runs.contains(key); }
    // Whether it is known, and was ordered by this home.
    bool heldFor(Incarnation home, const RunKey &key) const
    {
        const auto position = m_runs.find(key);
        return position != m_runs.end() && position->second.home == home;
    }
    // Whether it is known and has been started.
    bool holdsStarted(const RunKey &key) const
    {
        const auto position = m_runs.find(key);
        return position != m_runs.end() && position->second.state != RunState::Waiting;
    }
    bool empty() const { return m_runs.empty(); }
    std::size_t size() const { return m_runs.size(); }
    bool anyOf(Incarnation home) const;
    std::size_t countOf(Incarnation home) const;
    // Processors that the started runs of the home hold, in thousandths.
    std::uint64_t heldBy(Incarnation home) const
    {
        const auto position = m_heldByHome.find(home);
        return position != m_heldByHome.end() ? position->second : 0;
    }
    // In the order in which they should start.
    const Waiting &waiting() const { return m_waiting; }

    // Whether another run of this task has been started and is not known to be over.
    bool anotherStarted(const RunKey &key) const;

    // Adds a run that waits for capacity.
    void addWaiting(const RunKey &key, TrackedRun run);
    // Adds a run that a previous incarnation of the agent started; its need is unknown. The run
    // must not be known yet.
    TrackedRun &addForeign(TimePoint now, const RunKey &key);
    // The worker on which the started run was ordered is gone.
    void setOfEarlierLife(TrackedRun &run);
    // The waiting run is started: it holds its capacity from now on.
    void start(TimePoint now, Runs::iterator position);
    // Removes the run, with the capacity that it holds or waits for, and returns it.
    TrackedRun remove(Runs::iterator position);

    // Whether the waiting run could start on a worker with this total capacity.
    bool fits(const TrackedRun &run, const ResourceNeed &room) const
    {
        return m_held.fits(run.need, run.keepFree, room);
    }
    // Whether the worker's total capacity has shrunk below what started runs hold.
    bool exceed(const ResourceNeed &room) const { return m_held.exceeds(room); }
    // Part of this total capacity that neither started nor waiting runs take.
    ResourceNeed freeOf(const ResourceNeed &room) const;
    // Processors, in thousandths, that started runs hold and waiting runs need.
    std::uint64_t wantedMilliProcessors() const
    {
        return m_held.milliProcessors() + m_waitingMilliProcessors;
    }
    // Number of runs that a previous incarnation of the agent started.
    std::uint32_t foreignRuns() const { return m_foreignRuns; }
    // Number of runs that were started on an earlier life of the worker.
    std::uint32_t runsOfEarlierLives() const { return m_runsOfEarlierLives; }
    // Ends of the runs that a listing shows to be over by not containing them. `running` are the
    // runs that it lists as running; those that it lists as ended must have been removed.
    std::vector<ProvenEnd> endsOfMissing(const RunListing &listing,
                                         const std::set<RunKey> &running) const;
    std::vector<StartedRun> started() const;
    // Runs that the worker has confirmed, and that are not being stopped.
    std::vector<OngoingRun> ongoing() const;

private:
    Runs m_runs;
    // Each is in m_runs.
    Waiting m_waiting;
    // By all runs that are neither waiting nor foreign.
    HeldCapacity m_held;
    // The same, processors alone, for each home that has any.
    std::map<Incarnation, std::uint64_t> m_heldByHome;
    // Sum of the processors of all waiting runs.
    std::uint64_t m_waitingMilliProcessors = 0;
    std::uint32_t m_foreignRuns = 0;
    std::uint32_t m_runsOfEarlierLives = 0;
};

} // namespace Bluebellquay
