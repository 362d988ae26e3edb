// Scheduler of keyed jobs at their home: places the tasks of the jobs on workers through their
// agents, and answers the calls that wait for the jobs. The home of a job is the process that holds
// its caller's connection; if that process dies, the agents stop its runs. docs/platform.md
// explains the design and the timeouts that keep two runs of a task from overlapping.
//
// Performs no I/O and reads no clock: the process that owns it passes in calls, messages and the
// time, and carries out the effects collected in DispatchOutbox.
#pragma once

#include "core/crashhistory.h"
#include "core/crashisolation.h"
#include "core/dispatchlog.h"
#include "core/dispatchoutbox.h"
#include "core/jobrefusal.h"
#include "core/jobsupervisor.h"
#include "core/keyedjob.h"
#include "core/runsatagents.h"
#include "core/taskplacer.h"
#include "core/timerheap.h"
#include "core/workerchoice.h"
#include "core/workerregistry.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Bluebellquay {

struct RunDispatcherSettings
{
    std::string dataCentre;
    // Seed of the placement jitter; should differ between homes.
    std::uint64_t seed = 0;
    // 2.5 s. An agent that has been without a link for this long has stopped all runs of this home,
    // so they can be started elsewhere.
    Duration agentGoneAfter{2'500'000};
    // Limit of the jobs in memory; further jobs are refused.
    std::size_t maxJobs = 20'000;
    // Limit of the memory that they take, as JobTable estimates it, in bytes.
    std::size_t maxJobBytes = 256UL << 20;
    // 30 s. Deadline of jobs whose caller set none.
    Duration defaultTimeout{30'000'000};
    // Factor of the run time on workers outside the rack of the data.
    double remoteDataFactor = 1;
    // Share of the slack of a job (objective minus critical path) that it may spend waiting for a
    // worker. The rest covers network latency, the end of the run before, and run times that are
    // longer than expected. Without it, a queue under overload would start every job just too late.
    double waitingShare = 0.5;
    // Room reserved for more urgent queues, in standard deviations of the processors they use.
    double reservedDeviations = 1;
    EarliestFinish choice;
    LeastTimeLeftFirst order;
    OverloadRule overload;
};

class RunDispatcher
{
public:
    explicit RunDispatcher(RunDispatcherSettings settings);

    // Submits a job. Its runs get numbers above firstRun. The call is answered exactly once through
    // `out`, unless callerLeft() is called for it first. A second submission under a known key
    // joins that job, or follows it if the job is already released.
    void submit(TimePoint now, CallId call, KeyedJobSpec spec, const QueueRule &rule,
                std::optional<Duration> timeout, RunNumber firstRun, DispatchOutbox &out);
    // Removes a call whose caller disconnected. A job without calls is stopped.
    void callerLeft(TimePoint now, CallId call, DispatchOutbox &out);
    // Cancels a job on request of another entry, either for a caller that cancels or for the entry
    // itself. The entry is told once no run of the job is left.
    void handle(TimePoint now, Incarnation entry, const ReleaseJob &message, DispatchOutbox &out);
    // Cancels the job; returns false if this process is not its home.
    bool cancel(TimePoint now, JobKey key, DispatchOutbox &out);
    // Replaces the set of data centres in which no work may be started. Jobs that have not started
    // and now have no worker are refused; tasks whose orders an evacuated agent returns are placed
    // elsewhere.
    void setEvacuated(TimePoint now, const std::set<std::string> &dataCentres, DispatchOutbox &out);
    // What this home has found of queues whose tasks crash workers, for other homes, and takes over
    // what another one has found.
    const CrashIsolation &isolation() const { return m_isolation; }
    void adoptConfinement(TimePoint now, const Confinement &confinement, bool otherGoesFirst,
                          DispatchOutbox &out);
    // Announces that the process stops at this time. Jobs that can't be done by then are refused.
    void beginStop(TimePoint end) { m_stopTime = end; }
    // Answers every job with the outcome Unknown. Called when the process was suspended for so long
    // that its agents have stopped its runs, and when it is about to exit.
    void abandonAll(TimePoint now, DispatchOutbox &out);

    // The link to the agent came up. The agent is asked about the runs it should have, and told
    // again to stop those of released jobs.
    void agentUp(TimePoint now, const ProcessInfo &agent, DispatchOutbox &out);
    // The link to the agent broke. Its runs count as lost after agentGoneAfter, unless it returns.
    void agentDown(TimePoint now, Incarnation agent);
    void handle(TimePoint now, Incarnation agent, const WorkerRoom &message, DispatchOutbox &out);
    void handle(TimePoint now, Incarnation agent, const RunsEnded &message, DispatchOutbox &out);

    // Handles the timers that have expired, then places waiting tasks.
    void advance(TimePoint now, DispatchOutbox &out);
    std::optional<TimePoint> nextWakeup() const
    {
        return earliest(m_agentTimers.next(), m_supervisor.timers().next());
    }

    // Number of jobs of the queue for which no order has been sent.
    std::size_t pending(const std::string &queue) const { return jobsHeld().unstarted(queue); }
    std::size_t openJobs() const { return jobsHeld().calls(); }
    std::size_t jobs() const { return jobsHeld().size(); }
    bool anyWorker() const { return m_workers.anyReported(); }
    // Labels that waiting tasks require and that no linked worker has. Contains AcceleratorLabel if
    // tasks wait for accelerators that no worker has.
    std::set<std::string> missingLabels() const;
    const RunDispatcherStatistics &statistics() const { return m_supervisor.statistics(); }
    const WorkerRegistry &workers() const { return m_workers; }

private:
    // Runs a scheduling pass: places waiting tasks on workers, in the order of their ranks.
    void dispatch(TimePoint now, DispatchOutbox &out);
    // Handles the end of a run. Ends of runs that are not at this agent are ignored.
    void runEnded(TimePoint now, const EndedRun &ended, Incarnation agent, DispatchOutbox &out);
    // The agent has reported that its worker is gone. Its runs are over when their ends are
    // reported, since a worker that is cut off may still run them.
    void workerCrashed(TimePoint now, const WorkerRecord &record, DispatchOutbox &out);
    // The worker runs what this home has ordered there, or does no longer.
    void markRuns(Incarnation agent, bool workerCrashed);
    // Refuses the jobs that have not started and for which no worker is left.
    void refuseHopelessJobs(TimePoint now, DispatchOutbox &out);
    // Ends the job if its tasks are done or one must not be started again; else goes on with it.
    void continueJob(TimePoint now, KeyedJob &job, const KeyedTask &ended, DispatchOutbox &out);
    // Delay before a task is tried again, or looked at again, because a worker crashed under it.
    Duration delayAfterCrash(TimePoint now, const KeyedJob &job, const KeyedTask &task) const;
    // Answers all calls of the job and releases it.
    void finish(TimePoint now, KeyedJob &job, const Answer &answer, DispatchOutbox &out)
    {
        m_supervisor.finish(now, job, answer, m_workers.records().size(), out);
    }
    void timerDue(TimePoint now, KeyedJob &job, const JobTimer &timer, DispatchOutbox &out);
    void deadlinePassed(TimePoint now, KeyedJob &job, DispatchOutbox &out);
    // Removes an agent that has stopped all runs of this home, and counts these as lost.
    void expireAgent(TimePoint now, Incarnation agent, AgentGoneReason reason, DispatchOutbox &out);
    // Refuses a job that has not started if it can't be served in time or at all. Returns whether
    // it did.
    bool refuseIfHopeless(TimePoint now, KeyedJob &job, DispatchOutbox &out);
    // Refuses the job; returns true.
    bool refuse(TimePoint now, KeyedJob &job, Reason reason, DispatchOutbox &out);
    // Answer that refuses the job.
    Answer refusal(TimePoint now, const KeyedJob &job, Reason reason) const
    {
        return m_refusal.answer(now, job, reason, load());
    }
    HomeLoad load() const
    {
        return {jobsHeld().all(), m_supervisor.waiting(), m_workers, m_supervisor.demand(),
                m_isolation};
    }
    JobTable &jobsHeld() { return m_supervisor.jobs(); }
    const JobTable &jobsHeld() const { return m_supervisor.jobs(); }

    RunDispatcherSettings m_settings;
    JobSupervisor m_supervisor;
    WorkerRegistry m_workers;
    JobRefusal m_refusal;
    TaskPlacer m_placer;
    CrashIsolation m_isolation;
    CrashHistory m_crashes;
    RunsAtAgents m_runsAtAgents;
    // When agents without a link count as gone.
    TimerHeap<Incarnation> m_agentTimers;
    // Time at which the process exits, if known.
    std::optional<TimePoint> m_stopTime;
};

} // namespace Bluebellquay
