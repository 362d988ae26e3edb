// Messages between the home of a job that was submitted under a key chosen by its caller and the
// agents that run its tasks. The home pushes orders to agents with known free room; each agent is
// the only one that starts tasks on its worker. docs/platform.md says why.
#pragma once

#include "base/coretime.h"
#include "base/job.h"
#include "base/strongid.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Bluebellquay {

// Key that the caller chose for a job.
using JobKey = StrongId<struct JobKeyTag>;

// Number of a run of one task. A later run of the same task has a higher number.
using RunNumber = StrongId<struct RunNumberTag>;

// Number of an order from one home to one agent, from one; rises with each order.
using OrderNumber = StrongId<struct OrderNumberTag>;

// Matches the answer to a ReleaseJob; chosen by its sender, never reused by it.
using ReleaseNumber = StrongId<struct ReleaseNumberTag>;

// One run of one task of a job.
struct RunKey
{
    JobKey job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    RunNumber run;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted comparison.
    friend auto operator<=>(const RunKey &, const RunKey &) = default;
};

struct RunOrder
{
    std::uint32_t index = 0;
    RunNumber run;
    OrderNumber order;
    // What the home expects this run to take on a worker of ordinary speed.
    Duration expectedRunTime{0};
    // Processors of the worker, in thousandths, that are to stay free for more urgent queues.
    std::uint32_t keepFree = 0;
    // The home knows that the worker has no free capacity and has no better worker: the order waits
    // at the agent. Any other order that finds no free capacity is returned at once.
    bool mayWait = false;

    friend bool operator==(const RunOrder &, const RunOrder &) = default;
};

// Home to agent: start these tasks of one step as soon as there is room.
struct StartRuns
{
    JobKey job;
    std::uint32_t step = 0;
    std::string payload;
    // Resources that each task needs.
    ResourceNeed need;
    // Priority of the job's queue; orders with a smaller value start first.
    std::uint32_t priority = 0;
    // Time from the sending of the message until the job should be done. Of orders with equal
    // priority, those with less time left start first.
    Duration timeLeft{0};
    std::vector<RunOrder> orders;

    friend bool operator==(const StartRuns &, const StartRuns &) = default;
};

// Home to agent: these runs are to be stopped, or not started if they are waiting.
struct StopRuns
{
    std::vector<RunKey> runs;

    friend bool operator==(const StopRuns &, const StopRuns &) = default;
};

// Home to agent, on each new link: the runs that the home believes to be at the agent. The agent
// repeats the ends that may have been lost with the previous link, and stops the runs of this home
// that it does not name.
struct RunsAtAgent
{
    std::vector<RunKey> runs;

    friend bool operator==(const RunsAtAgent &, const RunsAtAgent &) = default;
};

enum class RunResult : std::uint8_t {
    Done = 1,
    Failed = 2, // by the task's own fault or the worker's
    // On request, because its home had fallen silent, or since its worker was gone before it had
    // confirmed the start.
    Stopped = 3,
    Lost = 4, // its worker or its lease is gone, and the run with it
    NotStarted = 5,
};

// Snake-case name as used in logs.
constexpr std::string_view toString(RunResult result)
{
    constexpr std::array<std::string_view, 6> Names = {"",        "done", "failed",
                                                       "stopped", "lost", "not_started"};
    return Names[static_cast<std::size_t>(result)];
}

struct EndedRun
{
    RunKey run;
    RunResult end = RunResult::Done;
    // Time since the start of the run as the agent measured it; zero if it was not started.
    Duration runTime{0};

    friend bool operator==(const EndedRun &, const EndedRun &) = default;
};

// Agent to home: these runs have ended.
struct RunsEnded
{
    std::vector<EndedRun> runs;

    friend bool operator==(const RunsEnded &, const RunsEnded &) = default;
};

// Agent to home, after each change: what the worker can take.
struct WorkerRoom
{
    // Number of this report on the link; a home uses the latest only.
    std::uint64_t sequence = 0;
    // The worker takes orders now.
    bool accepting = false;
    // The worker takes one order only; the result of that run decides whether it takes more.
    bool probation = false;
    // Nothing runs on the worker that this incarnation of the agent has not started.
    bool settled = false;
    // Pool of workers that this one belongs to.
    std::string service;
    std::vector<std::string> labels;
    ResourceNeed total;
    // Room that is neither used nor promised to a waiting order.
    ResourceNeed free;
    // Processors that waiting orders need beyond the room of the worker.
    std::uint32_t overcommittedMilliProcessors = 0;
    // Actual run time relative to the expected one, in thousandths; 1000 is ordinary.
    std::uint32_t slowdownPermille = 1000;
    // Homes that share the worker, the receiving one included. Where homes lend each other room,
    // the number of homes with equal shares among which the receiver would have its own.
    std::uint32_t homes = 1;
    // Last order of the receiving home that these figures include.
    OrderNumber lastOrder;

    friend bool operator==(const WorkerRoom &, const WorkerRoom &) = default;
};

// Entry to entry: the caller has cancelled the job, or submitted it again elsewhere. A home that
// has it stops its runs.
struct ReleaseJob
{
    ReleaseNumber number;
    JobKey job;

    friend bool operator==(const ReleaseJob &, const ReleaseJob &) = default;
};

// Answer to ReleaseJob, when none of its runs is left.
struct JobReleased
{
    ReleaseNumber number;
    // The sender was the home of the job.
    bool known = false;

    friend bool operator==(const JobReleased &, const JobReleased &) = default;
};

} // namespace Bluebellquay
