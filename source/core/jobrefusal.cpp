#include "core/jobrefusal.h"

#include <limits>

namespace Bluebellquay {

bool JobRefusal::tooLate(TimePoint now, const KeyedJob &job, const HomeLoad &load) const
{
    // A late job only delays other jobs that wait beside it, so it must be done by its objective if
    // there are any.
    const TimePoint latest = load.waiting.anyBut(job.spec.key) ? job.objective : usefulUntil(job);
    return m_overload.wouldFinishTooLate(loadBefore(now, job, load), job.estimate.criticalPath,
                                         latest - now);
}

Answer JobRefusal::answer(TimePoint now, const KeyedJob &job, Reason reason,
                          const HomeLoad &load) const
{
    Answer answer;
    answer.outcome = Outcome::NotRun;
    answer.reason = reason;
    answer.retryAfter = evacuated(job, load) || isolated(job, load)
        ? m_overload.retryAfterNoWorker(job.spec.key)
        : m_overload.retryAfter(loadBefore(now, job, load), job.spec.key);
    return answer;
}

double JobRefusal::availableMilliProcessors(const KeyedJob &job, const HomeLoad &load)
{
    double total = 0;
    for (const auto &[incarnation, record] : load.workers.records()) {
        if (record.usable(job.rule.service)
            && load.isolation.access(job.rule.service, job.rule.name, record.agent.name)
                != WorkerAccess::Forbidden)
            total += record.sharedMilliProcessors();
    }
    return total;
}

ServiceLoad JobRefusal::loadBefore(TimePoint now, const KeyedJob &job, const HomeLoad &load)
{
    ServiceLoad before;
    const bool confined = load.isolation.confined(job.rule.service, job.rule.name);
    for (const auto &[rank, ref] : load.waiting.queue()) {
        if (rank > job.rank)
            break;
        const KeyedJob &waiting = load.jobs.at(ref.job);
        // The tasks of a confined queue take no room of others that they could wait for, and the
        // other way round.
        if (waiting.rule.service != job.rule.service
            || load.isolation.confined(waiting.rule.service, waiting.rule.name) != confined)
            continue;
        before.waitingWork += JobEstimate::workOfTask(waiting.spec.steps[ref.step],
                                                      waiting.estimate.runTimes[ref.step]);
    }
    before.milliProcessors = availableMilliProcessors(job, load);
    // All work that is not late goes before a job that is late, whatever its priority.
    const std::uint32_t priority =
        job.rank.late ? std::numeric_limits<std::uint32_t>::max() : job.rule.priority;
    before.arrivingWork = load.demand.work(now, job.rule.service, priority);
    before.backlogAge = load.waiting.backlogAge(now);
    return before;
}

} // namespace Bluebellquay
