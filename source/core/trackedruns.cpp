#include "core/trackedruns.h"

#include <algorithm>

namespace Bluebellquay {

TrackedRun TrackedRun::waiting(TimePoint now, Incarnation home, const StartRuns &message,
                               const RunOrder &order)
{
    TrackedRun run;
    run.home = home;
    run.need = message.need;
    run.keepFree = order.keepFree;
    run.expected = order.expectedRunTime;
    run.rank = {message.priority, now + message.timeLeft};
    run.received = now;
    run.payload = message.payload;
    return run;
}

void TrackedRun::confirm(TimePoint now)
{
    if (state != RunState::Stopping)
        state = RunState::Running;
    confirmed = now;
    attempts.begun();
    payload.clear();
}

void TrackedRun::accept(TimePoint now)
{
    if (!attempts.repeated())
        return;
    accepted = now;
    listed = false;
}

RunResult TrackedRun::resultWithoutWorker() const
{
    if (state == RunState::Waiting)
        return RunResult::NotStarted;
    return confirmed > TimePoint() ? RunResult::Lost : RunResult::Stopped;
}

RunResult TrackedRun::resultIfMissingAfterStop() const
{
    if (foreign())
        return RunResult::Stopped;
    return attempts.hasBegun() ? RunResult::Lost : RunResult::NotStarted;
}

bool TrackedRuns::anyOf(Incarnation home) const
{
    return std::any_of(m_runs.begin(), m_runs.end(),
                       [home](const auto &item) { return item.second.home == home; });
}

std::size_t TrackedRuns::countOf(Incarnation home) const
{
    return static_cast<std::size_t>(
        std::count_if(m_runs.begin(), m_runs.end(),
                      [home](const auto &item) { return item.second.home == home; }));
}

bool TrackedRuns::anotherStarted(const RunKey &key) const
{
    auto position = m_runs.lower_bound({key.job, key.step, key.index, RunNumber()});
    for (; position != m_runs.end(); ++position) {
        const auto &[other, run] = *position;
        if (other.job != key.job || other.step != key.step || other.index != key.index)
            return false;
        if (other.run != key.run && run.state != RunState::Waiting)
            return true;
    }
    return false;
}

void TrackedRuns::addWaiting(const RunKey &key, TrackedRun run)
{
    m_waiting.emplace(run.rank, key);
    m_waitingMilliProcessors += run.need.milliProcessors;
    m_runs.emplace(key, std::move(run));
}

TrackedRun &TrackedRuns::addForeign(TimePoint now, const RunKey &key)
{
    TrackedRun &run = m_runs[key];
    run.started = now;
    run.confirm(now);
    ++m_foreignRuns;
    return run;
}

void TrackedRuns::setOfEarlierLife(TrackedRun &run)
{
    m_runsOfEarlierLives += run.ofEarlierLife ? 0 : 1;
    run.ofEarlierLife = true;
}

void TrackedRuns::start(TimePoint now, Runs::iterator position)
{
    TrackedRun &run = position->second;
    m_waiting.erase({run.rank, position->first});
    m_waitingMilliProcessors -= run.need.milliProcessors;
    m_held.hold(run.need);
    m_heldByHome[run.home] += run.need.milliProcessors;
    run.state = RunState::Ordered;
    run.started = now;
}

TrackedRun TrackedRuns::remove(Runs::iterator position)
{
    const RunKey key = position->first;
    TrackedRun run = std::move(position->second);
    m_runs.erase(position);
    m_runsOfEarlierLives -= run.ofEarlierLife ? 1 : 0;
    if (run.state == RunState::Waiting) {
        m_waiting.erase({run.rank, key});
        m_waitingMilliProcessors -= run.need.milliProcessors;
    } else if (run.foreign()) {
        --m_foreignRuns;
    } else {
        m_held.release(run.need);
        std::uint64_t &held = m_heldByHome[run.home];
        held -= run.need.milliProcessors;
        if (held == 0)
            m_heldByHome.erase(run.home);
    }
    return run;
}

ResourceNeed TrackedRuns::freeOf(const ResourceNeed &room) const
{
    ResourceNeed free = m_held.freeOf(room);
    free.milliProcessors = static_cast<std::uint32_t>(
        without<std::uint64_t>(free.milliProcessors, m_waitingMilliProcessors));
    return free;
}

std::vector<ProvenEnd> TrackedRuns::endsOfMissing(const RunListing &listing,
                                                  const std::set<RunKey> &running) const
{
    std::vector<ProvenEnd> ends;
    // A run that is missing may be among the ends that are yet to be listed.
    if (listing.moreEnds)
        return ends;
    for (const auto &[key, run] : m_runs) {
        if (running.contains(key))
            continue;
        // The worker lists a run as running until it lists its end. So a run that is not listed
        // after its stop was confirmed has ended before or was never started.
        const bool stopped = run.stopConfirmed && listing.askedAt >= *run.stopConfirmed;
        // A confirmed run that is neither running nor listed as ended was forgotten by the worker.
        const bool forgotten = run.state == RunState::Running && listing.askedAt > run.confirmed;
        if (stopped && listing.unreadableRunning == 0)
            ends.push_back({key, run.resultIfMissingAfterStop(), EndEvidence::MissingAfterStop});
        else if (forgotten && listing.unreadable == 0)
            ends.push_back({key, RunResult::Lost, EndEvidence::MissingAfterStart});
    }
    return ends;
}

std::vector<StartedRun> TrackedRuns::started() const
{
    std::vector<StartedRun> runs;
    for (const auto &[key, run] : m_runs) {
        if (run.state != RunState::Waiting)
            runs.emplace_back(run.started, key);
    }
    return runs;
}

std::vector<OngoingRun> TrackedRuns::ongoing() const
{
    std::vector<OngoingRun> runs;
    for (const auto &[key, run] : m_runs) {
        if (run.state == RunState::Running)
            runs.push_back({key.job, run.started, run.expected});
    }
    return runs;
}

} // namespace Bluebellquay
