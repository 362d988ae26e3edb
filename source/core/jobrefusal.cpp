#include "core/jobrefusal.h"

#include <algorithm>
#include <limits>

namespace Bluebellquay {

bool JobRefusal::tooLate(TimePoint now, const KeyedJob &job, const HomeLoad &load) const
{
    // A late job only delays other jobs that wait beside it, so it must be done by its objective if
    // there are any.
    const TimePoint latest = anyWaitsBeside(job, load) ? job.objective : usefulUntil(job);
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

bool JobRefusal::competes(const KeyedJob &job, const QueueRule &other, const HomeLoad &load)
{
    return other.service == job.rule.service
        && load.isolation.shareWorkers(other.service, job.rule.name, other.name);
}

bool JobRefusal::anyWaitsBeside(const KeyedJob &job, const HomeLoad &load)
{
    return std::any_of(
        load.waiting.queue().begin(), load.waiting.queue().end(), [&](const auto &item) {
            const JobKey key = item.second.job;
            return key != job.spec.key && competes(job, load.jobs.at(key).rule, load);
        });
}

ServiceLoad JobRefusal::loadBefore(TimePoint now, const KeyedJob &job, const HomeLoad &load)
{
    ServiceLoad before;
    for (const auto &[rank, ref] : load.waiting.queue()) {
        if (rank > job.rank)
            break;
        const KeyedJob &waiting = load.jobs.at(ref.job);
        if (!competes(job, waiting.rule, load))
            continue;
        before.waitingWork += JobEstimate::workOfTask(waiting.spec.steps[ref.step],
                                                      waiting.estimate.runTimes[ref.step]);
    }
    before.milliProcessors = availableMilliProcessors(job, load);
    // All work that is not late goes before a job that is late, whatever its priority.
    const std::uint32_t priority =
        job.rank.late ? std::numeric_limits<std::uint32_t>::max() : job.rule.priority;
    before.arrivingWork = load.demand.work(now, job.rule, priority, load.isolation);
    before.backlogAge = load.waiting.backlogAge(now, [&](const std::string &queue) {
        return load.isolation.shareWorkers(job.rule.service, job.rule.name, queue);
    });
    return before;
}

} // namespace Bluebellquay
