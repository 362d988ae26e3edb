#include "core/taskplacer.h"

#include "core/unplacedneeds.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

// Run numbers skipped after each returned order: the worker may know higher numbers of the task
// from an earlier home.
constexpr std::uint64_t ReturnedOrderRunSkip = 32;

} // namespace

TaskPlacer::TaskPlacer(TaskPlacerSettings settings)
    : m_settings(std::move(settings))
    , m_jitterSeed(m_settings.seed)
{ }

TaskPlacer::StartMessages TaskPlacer::place(TimePoint now, const PlacementState &state)
{
    Batches batches;
    UnplacedByQueue unplacedByQueue;
    const WaitingTasks::Queue &queue = state.waiting.queue();
    for (auto position = queue.begin(); position != queue.end();) {
        const TaskRef ref = (position++)->second;
        if (!tryTask(now, ref, state, unplacedByQueue, batches))
            break;
    }
    StartMessages messages;
    for (auto &[target, message] : batches)
        messages.emplace_back(std::get<Incarnation>(target), std::move(message));
    return messages;
}

bool TaskPlacer::tryTask(TimePoint now, const TaskRef &ref, const PlacementState &state,
                         UnplacedByQueue &unplacedByQueue, Batches &batches)
{
    const KeyedJob &job = state.jobs.at(ref.job);
    const KeyedStep &step = job.spec.steps[ref.step];
    const bool divided = state.isolation.divided(job.rule.service);
    UnplacedNeeds &unplaced =
        unplacedByQueue[divided ? std::string_view(job.rule.name) : std::string_view()];
    if (unplaced.enough() && !divided)
        return false;
    if (unplaced.enough() || unplaced.cannotPlace(job.rule.service, step.need)) {
        unplaced.count();
        return true;
    }
    const bool exclusive = state.isolation.mustRunAlone(job.rule.service, job.rule.name);
    const std::optional<Placement> placement = choose(now, job, ref, exclusive, state);
    if (!placement) {
        if (step.runsOnAnyWorker() && !exclusive)
            unplaced.add(job.rule.service, step.need);
        unplaced.count();
        return true;
    }
    state.waiting.remove(job, ref);
    order(now, ref, *placement, state, batches);
    return true;
}

std::optional<Placement> TaskPlacer::choose(TimePoint now, const KeyedJob &job, const TaskRef &ref,
                                            bool exclusive, const PlacementState &state)
{
    const std::vector<Incarnation> excluded = agentsAtLimit(job, ref.step);
    const UrgentReserve reserve = state.demand.reserve(
        now, job.rule, state.workers, state.isolation, m_settings.reservedDeviations);
    const PlacementRequest request{job,
                                   job.spec.steps[ref.step],
                                   job.estimate.runTimes[ref.step],
                                   m_settings.remoteDataFactor,
                                   excluded,
                                   m_settings.dataCentre,
                                   reserve,
                                   job.tasks[ref.step][ref.index].avoidedAgent,
                                   state.isolation,
                                   exclusive,
                                   ++m_jitterSeed};
    return m_settings.choice.choose(state.workers, request);
}

Duration TaskPlacer::expectedRunTime(const KeyedJob &job, std::uint32_t step,
                                     bool dataIsRemote) const
{
    const double factor = dataIsRemote ? m_settings.remoteDataFactor : 1;
    return std::chrono::duration_cast<Duration>(job.estimate.runTimes[step] * factor);
}

Duration TaskPlacer::localDataRunTime(const KeyedTask &task, Duration runTime) const
{
    const double factor = task.dataIsRemote ? m_settings.remoteDataFactor : 1;
    return std::chrono::duration_cast<Duration>(runTime / factor);
}

void TaskPlacer::order(TimePoint now, const TaskRef &ref, const Placement &placement,
                       const PlacementState &state, Batches &batches) const
{
    const Incarnation agent = placement.agent;
    KeyedJob &job = state.jobs.at(ref.job);
    KeyedTask &task = job.tasks[ref.step][ref.index];
    const KeyedStep &step = job.spec.steps[ref.step];
    task.phase = TaskPhase::Ordered;
    task.agent = agent;
    task.dataIsRemote = placement.dataIsRemote;
    task.workerCrashed = false;
    // Run numbers of a task increase. The job's lastRun keeps them above those of earlier homes and
    // of earlier submissions under the same key.
    const std::uint64_t skipped = task.returnedOrders * ReturnedOrderRunSkip;
    task.run = RunNumber(std::max(task.run, job.lastRun).value() + 1 + skipped);
    if (job.ordersSent++ == 0)
        job.firstOrderAt = now;
    ++job.openRuns;
    state.runsAtAgents.add(agent, RunKey{ref.job, ref.step, ref.index, task.run});

    StartRuns &message = batches[{agent, ref.job, ref.step}];
    if (message.orders.empty()) {
        message.job = ref.job;
        message.step = ref.step;
        message.payload = job.spec.payload;
        message.need = step.need;
        message.priority = job.rule.priority;
        message.timeLeft = std::max(job.objective - now, Duration(0));
    }
    message.orders.push_back({ref.index, task.run, state.workers.recordOrder(agent, step.need),
                              expectedRunTime(job, ref.step, placement.dataIsRemote),
                              placement.keepFree});
}

} // namespace Bluebellquay
