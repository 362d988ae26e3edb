// The start and stop calls of an agent to its worker, which are repeated until the worker answers.
// Calls and answers may be lost, and may be carried out late.
#pragma once

#include "core/runoutbox.h"
#include "core/timerheap.h"
#include "core/trackedruns.h"

#include <cstdint>
#include <optional>

namespace Bluebellquay {

// Counters since the start of the process.
struct RunCallStatistics
{
    std::uint64_t startsUnanswered = 0;
    std::uint64_t startsRepeated = 0;
    std::uint64_t startsNotSent = 0;
};

class RunCalls
{
public:
    // Sends the start of an ordered run, and schedules its repetition.
    void sendStart(TimePoint now, const RunKey &key, TrackedRun &run, RunOutbox &out);
    // Sends a stop, unless the run is being stopped already.
    void requestStop(TimePoint now, const RunKey &key, TrackedRun &run, RunOutbox &out);
    // The worker was replaced by one that may run or receive the run: sends a stop again. One that
    // the earlier worker confirmed does not bind the new one.
    void stopOnReplacedWorker(TimePoint now, const RunKey &key, TrackedRun &run, RunOutbox &out);

    // Handles the answer to a start of a run that is not waiting. Returns whether the run has not
    // started and can't start any more.
    bool startRefused(TimePoint now, const RunKey &key, TrackedRun &run, StartAnswer answer,
                      RunCallStatistics &statistics, RunOutbox &out);
    // The worker has confirmed a stop.
    static void stopConfirmed(TimePoint now, TrackedRun &run, RunOutbox &out);

    // Repeats the calls that have had no answer for a while, and gives up starts that had none for
    // too long, or all if the runs exceed the worker's capacity: it may not have seen the earlier
    // calls, and a repeat would start the run over a capacity that has shrunk.
    void advance(TimePoint now, TrackedRuns &runs, bool exceeded, RunCallStatistics &statistics,
                 RunOutbox &out);
    std::optional<TimePoint> nextWakeup() const { return m_timers.next(); }

private:
    enum class CallKind : std::uint8_t { Start, Stop };
    // A call to be repeated if it has had no answer.
    struct Repetition
    {
        CallKind kind;
        RunKey run;
    };

    void repeatStart(TimePoint now, const RunKey &key, TrackedRun &run, bool exceeded,
                     RunCallStatistics &statistics, RunOutbox &out);
    // Sends a stop and schedules its repetition, until the worker confirms it.
    void sendStop(TimePoint now, const RunKey &key, TrackedRun &run, RunOutbox &out);

    TimerHeap<Repetition> m_timers;
};

} // namespace Bluebellquay
