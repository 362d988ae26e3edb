#include "core/keyedjob.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace Bluebellquay {

namespace {

constexpr std::size_t KeyDigits = 16;
constexpr int HexBase = 16;
// A job that is done within this multiple of its objective is still of use to its caller.
constexpr int UsefulTimeFactor = 3;

} // namespace

std::string jobKeyText(JobKey key)
{
    char digits[KeyDigits];
    const auto [end, error] =
        std::to_chars(std::begin(digits), std::end(digits), key.value(), HexBase);
    const auto length = static_cast<std::size_t>(end - digits);
    return std::string(KeyDigits - length, '0') + std::string(digits, length);
}

std::size_t taskCount(const KeyedJobSpec &job)
{
    std::size_t count = 0;
    for (const KeyedStep &step : job.steps)
        count += step.tasks;
    return count;
}

std::vector<std::uint32_t> unblockSteps(KeyedJob &job)
{
    const auto done = [&](std::uint32_t step) {
        return std::all_of(job.tasks[step].begin(), job.tasks[step].end(),
                           [](const KeyedTask &task) { return task.phase == TaskPhase::Done; });
    };
    std::vector<std::uint32_t> unblocked;
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        if (job.tasks[step].empty() || job.tasks[step].front().phase != TaskPhase::Blocked)
            continue;
        const auto &after = job.spec.steps[step].after;
        if (!std::all_of(after.begin(), after.end(), done))
            continue;
        for (KeyedTask &task : job.tasks[step])
            task.phase = TaskPhase::Ready;
        unblocked.push_back(step);
    }
    return unblocked;
}

std::vector<Incarnation> agentsAtLimit(const KeyedJob &job, std::uint32_t step)
{
    const std::uint32_t most = job.spec.steps[step].maxPerWorker;
    std::vector<Incarnation> full;
    if (most == 0)
        return full;
    std::map<Incarnation, std::uint32_t> counts;
    for (const KeyedTask &task : job.tasks[step]) {
        if (task.phase == TaskPhase::Ordered && ++counts[task.agent] == most)
            full.push_back(task.agent);
    }
    return full;
}

std::uint64_t milliProcessorsAt(const KeyedJob &job, Incarnation agent)
{
    std::uint64_t total = 0;
    for (std::size_t step = 0; step < job.tasks.size(); ++step) {
        for (const KeyedTask &task : job.tasks[step]) {
            if (task.phase == TaskPhase::Ordered && task.agent == agent)
                total += job.spec.steps[step].need.milliProcessors;
        }
    }
    return total;
}

std::map<Incarnation, StopRuns> runsToStop(const KeyedJob &job)
{
    std::map<Incarnation, StopRuns> stops;
    for (std::uint32_t step = 0; step < job.tasks.size(); ++step) {
        for (std::uint32_t index = 0; index < job.tasks[step].size(); ++index) {
            const KeyedTask &task = job.tasks[step][index];
            if (task.phase == TaskPhase::Ordered)
                stops[task.agent].runs.push_back({job.spec.key, step, index, task.run});
        }
    }
    return stops;
}

KeyedJob makeSuccessorJob(KeyedJob::Successor &&successor, RunNumber highest)
{
    KeyedJob job;
    job.spec = std::move(successor.spec);
    job.rule = std::move(successor.rule);
    job.calls = std::move(successor.calls);
    job.arrived = successor.arrived;
    job.deadline = successor.deadline;
    job.lastRun = highest;
    return job;
}

RunNumber highestRun(const KeyedJob &job)
{
    RunNumber highest = job.lastRun;
    for (const auto &step : job.tasks) {
        for (const KeyedTask &task : step)
            highest = std::max(highest, task.run);
    }
    return highest;
}

void setObjective(KeyedJob &job, double waitingShare)
{
    const Duration criticalPath = job.estimate.criticalPath;
    const auto slack = std::chrono::duration_cast<Duration>(criticalPath * job.rule.slackFactor);
    const Duration objective = slack + job.rule.allowance;
    job.objective = job.arrived + objective;
    const auto spare = std::max(objective - criticalPath, Duration(0));
    job.latestStart = job.arrived + std::chrono::duration_cast<Duration>(spare * waitingShare);
}

TimePoint startTimeout(const KeyedJob &job)
{
    const TimePoint halfTime = job.arrived + (job.deadline - job.arrived) / 2;
    return std::min(usefulUntil(job) - job.estimate.criticalPath, halfTime);
}

TimePoint usefulUntil(const KeyedJob &job)
{
    const Duration objective = job.objective - job.arrived;
    return std::min(job.arrived + objective * UsefulTimeFactor, job.deadline);
}

} // namespace Bluebellquay
