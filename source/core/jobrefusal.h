// Decides at the home of a keyed job that has not started whether it is refused, and when its
// caller should come back. The load is bursts of several times the capacity, and capacity that
// shrinks when data centres are evacuated or workers crash.
#pragma once

#include "base/answer.h"
#include "core/crashisolation.h"
#include "core/jobtable.h"
#include "core/overloadrule.h"
#include "core/urgentdemand.h"
#include "core/waitingtasks.h"
#include "core/workerregistry.h"

namespace Bluebellquay {

// What a home knows when it decides.
struct HomeLoad
{
    const JobTable::Jobs &jobs;
    const WaitingTasks &waiting;
    const WorkerRegistry &workers;
    const UrgentDemand &demand;
    const CrashIsolation &isolation;
};

class JobRefusal
{
public:
    explicit JobRefusal(OverloadRule overload)
        : m_overload(overload)
    { }

    // Whether the job would end too late to be of use.
    bool tooLate(TimePoint now, const KeyedJob &job, const HomeLoad &load) const;
    // Whether all workers of the job's service are in evacuated data centres.
    bool evacuated(const KeyedJob &job, const HomeLoad &load) const
    {
        return load.workers.allEvacuated(job.rule.service);
    }
    // Whether the job's queue is confined to workers none of which takes orders.
    bool isolated(const KeyedJob &job, const HomeLoad &load) const
    {
        return load.isolation.confined(job.rule.service, job.rule.name)
            && availableMilliProcessors(job, load) <= 0;
    }
    // Answer of outcome NotRun with the time after which to retry.
    Answer answer(TimePoint now, const KeyedJob &job, Reason reason, const HomeLoad &load) const;

private:
    // Whether tasks of a queue with this rule may take room that the job waits for.
    static bool competes(const KeyedJob &job, const QueueRule &other, const HomeLoad &load);
    // Whether tasks of such a queue wait that are not the job's.
    static bool anyWaitsBeside(const KeyedJob &job, const HomeLoad &load);
    // This home's share of the processors of the workers on which the job's tasks may be placed.
    static double availableMilliProcessors(const KeyedJob &job, const HomeLoad &load);
    // Load of the job's service, counting the work that is placed before the job.
    static ServiceLoad loadBefore(TimePoint now, const KeyedJob &job, const HomeLoad &load);

    OverloadRule m_overload;
};

} // namespace Bluebellquay
