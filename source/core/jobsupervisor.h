// Keeps the jobs of one home from their arrival until their last run has ended: queues their tasks
// when these are ready, answers the calls that wait for a job, and stops its runs. RunDispatcher
// tells it when; it knows nothing of workers.
#pragma once

#include "core/dispatchoutbox.h"
#include "core/jobforecast.h"
#include "core/joborder.h"
#include "core/jobtable.h"
#include "core/keyedjob.h"
#include "core/queueloads.h"
#include "core/rundispatcherstatistics.h"
#include "core/timerheap.h"
#include "core/urgentdemand.h"
#include "core/waitingtasks.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Bluebellquay {

// StartTimeout: the job is refused if it has not started by then. Late: the job can no longer be
// done by its objective if it has not started by then.
enum class JobTimerKind : std::uint8_t { Deadline, Late, StartTimeout, TaskReady };
struct JobTimer
{
    JobTimerKind kind;
    TaskRef task;
};

class JobSupervisor
{
public:
    // waitingShare: share of its slack that a job may spend waiting for a worker.
    JobSupervisor(double waitingShare, LeastTimeLeftFirst order)
        : m_waitingShare(waitingShare)
        , m_order(order)
    { }

    // Adds a job to the queue: computes its objective and rank, and schedules its timers.
    void add(TimePoint now, KeyedJob opened);
    // A further call for a job that is not released.
    void join(KeyedJob &known, CallId call, TimePoint deadline);
    // Queues the tasks of all steps whose dependencies are done.
    void makeReadySteps(TimePoint now, KeyedJob &job);
    // Queues the task again after this delay.
    void retryTask(TimePoint now, KeyedJob &job, const TaskRef &ref, Duration delay);
    // Moves the tasks of a late job behind those of jobs that are not late, for a while.
    void demote(TimePoint now, KeyedJob &job);
    // Answers all calls of the job and releases it. Agents: number of agents, for the log.
    void finish(TimePoint now, KeyedJob &job, const Answer &answer, std::size_t agents,
                DispatchOutbox &out);
    // Stops the runs of the job. The job is removed when its last run has ended.
    void release(KeyedJob &job, DispatchOutbox &out);
    // Removes a released job that has no runs left, and adds its successor if there is one.
    void removeIfDrained(TimePoint now, JobKey key, DispatchOutbox &out);
    // Message that stops those of the runs whose job is released.
    StopRuns released(const std::vector<RunKey> &runs);

    JobTable &jobs() { return m_jobs; }
    const JobTable &jobs() const { return m_jobs; }
    WaitingTasks &waiting() { return m_waiting; }
    const WaitingTasks &waiting() const { return m_waiting; }
    TimerHeap<JobTimer> &timers() { return m_timers; }
    const TimerHeap<JobTimer> &timers() const { return m_timers; }
    JobForecast &forecast() { return m_forecast; }
    const UrgentDemand &demand() const { return m_demand; }
    UrgentDemand &demand() { return m_demand; }
    QueueLoads &loads() { return m_loads; }
    RunDispatcherStatistics &statistics() { return m_statistics; }
    const RunDispatcherStatistics &statistics() const { return m_statistics; }

private:
    double m_waitingShare;
    LeastTimeLeftFirst m_order;
    RunDispatcherStatistics m_statistics;
    JobForecast m_forecast;
    UrgentDemand m_demand;
    QueueLoads m_loads;
    JobTable m_jobs;
    // The tasks of jobs in the table that are ready and have no order.
    WaitingTasks m_waiting;
    TimerHeap<JobTimer> m_timers;
};

} // namespace Bluebellquay
