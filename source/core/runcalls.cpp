#include "core/runcalls.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

// Delay from an unanswered stop to its first repetition, doubled with each further one.
constexpr Duration FirstStopRepeat{20'000};
constexpr unsigned LongestStopRepeatShift = 3;

} // namespace

void RunCalls::sendStart(TimePoint now, const RunKey &key, TrackedRun &run, RunOutbox &out)
{
    run.attempts.sent(now);
    out.starts.push_back({key, run.payload});
    m_timers.schedule(now + StartAttempts::RepeatInterval, Repetition{CallKind::Start, key});
}

void RunCalls::repeatStart(TimePoint now, const RunKey &key, TrackedRun &run, bool exceeded,
                           RunCallStatistics &statistics, RunOutbox &out)
{
    if (run.state != RunState::Ordered)
        return;
    if (exceeded || run.attempts.givenUp(now))
        return requestStop(now, key, run, out);
    ++statistics.startsRepeated;
    sendStart(now, key, run, out);
}

void RunCalls::requestStop(TimePoint now, const RunKey &key, TrackedRun &run, RunOutbox &out)
{
    if (run.state == RunState::Stopping)
        return;
    run.state = RunState::Stopping;
    sendStop(now, key, run, out);
}

void RunCalls::sendStop(TimePoint now, const RunKey &key, TrackedRun &run, RunOutbox &out)
{
    out.stops.push_back({key});
    const Duration interval =
        FirstStopRepeat * (1U << std::min(run.stopsSent++, LongestStopRepeatShift));
    m_timers.schedule(now + interval, Repetition{CallKind::Stop, key});
}

void RunCalls::stopOnReplacedWorker(TimePoint now, const RunKey &key, TrackedRun &run,
                                    RunOutbox &out)
{
    run.stopConfirmed.reset();
    run.state = RunState::Stopping;
    sendStop(now, key, run, out);
}

bool RunCalls::startRefused(TimePoint now, const RunKey &key, TrackedRun &run, StartAnswer answer,
                            RunCallStatistics &statistics, RunOutbox &out)
{
    if (answer == StartAnswer::NoAnswer) {
        ++statistics.startsUnanswered;
        if (run.state == RunState::Ordered && run.attempts.givenUp(now))
            requestStop(now, key, run, out);
        return false;
    }
    run.attempts.settled();
    statistics.startsNotSent += answer == StartAnswer::NotSent ? 1 : 0;
    if (answer == StartAnswer::Accepted) {
        // Also one that is being stopped: its repetitions are refused while it still runs.
        if (run.unconfirmed())
            run.confirm(now);
        return false;
    }
    // While another call may have been carried out, only a listing shows whether the run started.
    return run.attempts.allRefused();
}

void RunCalls::stopConfirmed(TimePoint now, TrackedRun &run, RunOutbox &out)
{
    if (run.state != RunState::Stopping || run.stopConfirmed)
        return;
    run.stopConfirmed = now;
    out.look = true;
}

void RunCalls::advance(TimePoint now, TrackedRuns &runs, bool exceeded,
                       RunCallStatistics &statistics, RunOutbox &out)
{
    while (const std::optional<Repetition> call = m_timers.popDue(now)) {
        const auto position = runs.find(call->run);
        if (position == runs.end())
            continue;
        if (call->kind == CallKind::Start)
            repeatStart(now, call->run, position->second, exceeded, statistics, out);
        else if (!position->second.stopConfirmed)
            sendStop(now, call->run, position->second, out);
    }
}

} // namespace Bluebellquay
