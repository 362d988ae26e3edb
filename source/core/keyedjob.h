// Jobs that callers submit under a key of their choice, with their steps, tasks and state, as the
// home of the job holds them. The home is the process that schedules the job's tasks and answers
// its callers.
#pragma once

#include "base/runmessages.h"
#include "core/entryoutbox.h"
#include "core/queuerules.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Bluebellquay {

// Reported in place of a label when a task needs accelerators that no worker has.
inline constexpr const char *AcceleratorLabel = "accelerator";

// A set of equal tasks that may start once the steps it depends on are done.
struct KeyedStep
{
    std::uint32_t tasks = 1;
    // Resources that each task needs.
    ResourceNeed need;
    // Run time of one task as estimated by the caller.
    Duration declaredRunTime{0};
    // Indices of the steps that must be done before this one; each is smaller than the index of
    // this step.
    std::vector<std::uint32_t> after;
    // Label that the worker must have; empty if any worker may run the tasks.
    std::string requiredLabel;
    // Label of the rack that holds the input data. Tasks take longer on other racks. Empty if the
    // rack does not matter.
    std::string dataRack;
    // Largest number of the step's tasks on one worker at a time; zero means no limit.
    std::uint32_t maxPerWorker = 0;

    bool runsOnAnyWorker() const { return requiredLabel.empty() && maxPerWorker == 0; }
};

struct KeyedJobSpec
{
    JobKey key;
    std::string payload;
    std::vector<KeyedStep> steps;
};

// The key as callers write it: sixteen lower-case hexadecimal digits.
std::string jobKeyText(JobKey key);

// Number of tasks in all steps.
std::size_t taskCount(const KeyedJobSpec &job);

enum class TaskPhase : std::uint8_t {
    Blocked, // by an earlier step
    Ready,   // waits for a worker
    Delayed, // waits for the time of its next try
    Ordered, // at an agent
    Done,
};

struct KeyedTask
{
    // Scheduling state of the task.
    TaskPhase phase = TaskPhase::Blocked;
    // Agent that has the order for the current run. Valid in phase Ordered.
    Incarnation agent;
    RunNumber run;
    // Number of runs that failed; compared with QueueRule::maxAttempts.
    std::uint32_t failures = 0;
    // Number of orders that an agent returned without starting a run.
    std::uint32_t returnedOrders = 0;
    // Whether the current run is outside the rack of the task's data. Valid in phase Ordered.
    bool dataIsRemote = false;
    // Agent of the last run that did not succeed.
    Incarnation avoidedAgent;
    // The worker of the current run has crashed, as its agent has reported; the run is lost unless
    // the worker was only cut off. Valid in phase Ordered.
    bool workerCrashed = false;
    // Number of workers that have crashed under the task.
    std::uint32_t crashes = 0;
};

// Expected run times and work of a job, computed when it arrives.
struct JobEstimate
{
    // Expected run time of one task, by step.
    std::vector<Duration> runTimes;
    // Expected run time of the longest chain of dependent steps.
    Duration criticalPath{0};
    // Work of all tasks: processors times run time, in thousandths of a processor times
    // microseconds.
    double work = 0;

    static double workOfTask(const KeyedStep &step, Duration runTime)
    {
        return static_cast<double>(step.need.milliProcessors)
            * static_cast<double>(runTime.count());
    }
};

// Sort key of a job's waiting tasks; the smallest rank is placed first. See joborder.h.
struct JobRank
{
    // The job has not started and can no longer be done by its objective.
    bool late = false;
    // Priority of the job's queue; zero is most urgent.
    std::uint32_t priority = 0;
    TimePoint latestStart{};

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted comparison.
    friend auto operator<=>(const JobRank &, const JobRank &) = default;
};

// State of one keyed job at its home.
struct KeyedJob
{
    KeyedJobSpec spec;
    QueueRule rule;
    JobEstimate estimate;
    // Calls that wait for the answer; empty once the job is released.
    std::vector<CallId> calls;
    TimePoint arrived;
    // Time at which the last caller stops waiting.
    TimePoint deadline;
    // Time by which the job should be done; see QueueRule::slackFactor.
    TimePoint objective;
    // Latest start of the first task that leaves a reserve before the objective.
    TimePoint latestStart;
    // Rank of the job's waiting tasks.
    JobRank rank;
    // Indexed by step, then by task within the step.
    std::vector<std::vector<KeyedTask>> tasks;
    std::uint32_t ordersSent = 0;
    // Valid once ordersSent is above zero.
    TimePoint firstOrderAt{};
    // Runs that may still be at an agent.
    std::uint32_t openRuns = 0;
    std::uint32_t tasksLeft = 0;
    // Highest run number of earlier homes and submissions of the job; its runs get higher ones.
    RunNumber lastRun;
    // The job was answered, or no caller waits for it any more. Its runs are being stopped.
    bool released = false;
    // A submission under the same key that starts once no run of this job is left.
    struct Successor
    {
        KeyedJobSpec spec;
        QueueRule rule;
        std::vector<CallId> calls;
        TimePoint arrived;
        TimePoint deadline;
    };
    std::optional<Successor> successor;
    // Entries that asked for the release of the job, each with the number of its request.
    std::vector<std::pair<Incarnation, ReleaseNumber>> releaseRequests;
};

// Sets the tasks of all blocked steps whose dependencies are done to Ready. Returns the indices of
// these steps.
[[nodiscard]] std::vector<std::uint32_t> unblockSteps(KeyedJob &job);

// Agents that already have KeyedStep::maxPerWorker tasks of the step.
std::vector<Incarnation> agentsAtLimit(const KeyedJob &job, std::uint32_t step);

// Processors, in thousandths, of the job's tasks that were ordered from this agent.
std::uint64_t milliProcessorsAt(const KeyedJob &job, Incarnation agent);

// Stop messages for all ordered runs of the job, by agent.
std::map<Incarnation, StopRuns> runsToStop(const KeyedJob &job);

// Creates the job of a successor submission. Its run numbers begin above `highest`, the highest run
// number of the earlier job.
KeyedJob makeSuccessorJob(KeyedJob::Successor &&successor, RunNumber highest);

// Highest run number used for any task of the job.
RunNumber highestRun(const KeyedJob &job);

// Sets the objective and the latest start of a job that has its estimate. `waitingShare` is the
// share of its slack (objective minus critical path) that it may spend waiting for a worker.
void setObjective(KeyedJob &job, double waitingShare);

// Time at which a job that has not started is refused: by half of its time, so that its caller can
// still submit it elsewhere, and while its result would still be of use.
TimePoint startTimeout(const KeyedJob &job);

// Time after which the result is of no use to the caller.
TimePoint usefulUntil(const KeyedJob &job);

} // namespace Bluebellquay
