// Places the waiting tasks of keyed jobs on workers, in the order of their ranks, and creates the
// orders to the agents. The load is bursts of many short tasks from queues of different urgency, on
// workers that several homes share.
#pragma once

#include "core/crashisolation.h"
#include "core/jobtable.h"
#include "core/runsatagents.h"
#include "core/urgentdemand.h"
#include "core/waitingtasks.h"
#include "core/workerchoice.h"
#include "core/workerregistry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace Bluebellquay {

class UnplacedNeeds;

struct TaskPlacerSettings
{
    // Data centre of the home.
    std::string dataCentre;
    // Factor of the run time on workers outside the rack of the data.
    double remoteDataFactor = 1;
    // Room reserved for more urgent queues, in standard deviations of the processors they use.
    double reservedDeviations = 1;
    EarliestFinish choice;
    // Seed of the placement jitter; should differ between homes.
    std::uint64_t seed = 0;
};

// State of a home that a scheduling pass changes, and the state that it only reads.
struct PlacementState
{
    JobTable &jobs;
    WaitingTasks &waiting;
    WorkerRegistry &workers;
    RunsAtAgents &runsAtAgents;
    const UrgentDemand &demand;
    const CrashIsolation &isolation;
};

class TaskPlacer
{
public:
    // Start messages of one scheduling pass, each with the agent that it is sent to.
    using StartMessages = std::vector<std::pair<Incarnation, StartRuns>>;

    explicit TaskPlacer(TaskPlacerSettings settings);

    // Runs a scheduling pass: removes each task that fits a worker from the queue, and orders it
    // from the agent of that worker. All orders of one step from one agent are in one message.
    StartMessages place(TimePoint now, const PlacementState &state);
    // Converts the measured run time of a task to its run time in the rack of its data.
    Duration localDataRunTime(const KeyedTask &task, Duration runTime) const;

private:
    // Start messages by agent, job and step.
    using Batches = std::map<std::tuple<Incarnation, JobKey, std::uint32_t>, StartRuns>;
    // Tasks that were not placed. By queue where the queues of a service are kept apart, so that
    // each waits for other workers; else under an empty name.
    using UnplacedByQueue = std::map<std::string_view, UnplacedNeeds>;

    // Returns whether further tasks should be tried.
    bool tryTask(TimePoint now, const TaskRef &ref, const PlacementState &state,
                 UnplacedByQueue &unplacedByQueue, Batches &batches);
    std::optional<Placement> choose(TimePoint now, const KeyedJob &job, const TaskRef &ref,
                                    bool exclusive, const PlacementState &state);
    // Adds the order for a placed task to its batch.
    void order(TimePoint now, const TaskRef &ref, const Placement &placement,
               const PlacementState &state, Batches &batches) const;
    // Expected run time on a worker of ordinary speed, in or outside the rack of the task's data.
    Duration expectedRunTime(const KeyedJob &job, std::uint32_t step, bool dataIsRemote) const;

    TaskPlacerSettings m_settings;
    // Seed of the jitter of the latest placement; increases by one with each placement.
    std::uint64_t m_jitterSeed = 0;
};

} // namespace Bluebellquay
