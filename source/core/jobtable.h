// The keyed jobs at one home, and the calls that wait for them. A job stays here after its answer
// until no run of it is left, so that a later submission under its key can't run beside it.
#pragma once

#include "core/keyedjob.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Bluebellquay {

class JobTable
{
public:
    using Jobs = std::unordered_map<JobKey, KeyedJob>;

    // A released job that has no runs left, after its removal.
    struct Drained
    {
        // Entries that asked for the release of the job, each with the number of its request.
        std::vector<std::pair<Incarnation, ReleaseNumber>> releaseRequests;
        // The next submission under the key, as a job whose run times are not yet estimated.
        std::optional<KeyedJob> successor;
    };

    const Jobs &all() const { return m_jobs; }
    std::size_t size() const { return m_jobs.size(); }
    // Estimated memory of all jobs, and of one, in bytes.
    std::size_t bytes() const { return m_bytes; }
    static std::size_t bytesOf(const KeyedJobSpec &spec);
    // Number of calls that wait for a job.
    std::size_t calls() const { return m_calls.size(); }
    // Null if the job is not known.
    KeyedJob *find(JobKey key);
    KeyedJob &at(JobKey key) { return m_jobs.at(key); }
    const KeyedJob &at(JobKey key) const { return m_jobs.at(key); }
    // The task whose current run this is; null if the run is not current or not at this agent.
    KeyedTask *findTask(const RunKey &run, Incarnation agent);

    // Adds a job, with its calls.
    KeyedJob &add(KeyedJob job);
    // Adds a call to a job that is not released, which ends no earlier than the call's deadline.
    void join(KeyedJob &job, CallId call, TimePoint deadline);
    // Adds a call to the successor of a released job. Without a successor, this submission becomes
    // it.
    void follow(KeyedJob &released, KeyedJob::Successor submission, CallId call);
    // Removes a call. Returns its job if the job is not released and no other call waits for it;
    // else null.
    KeyedJob *leave(CallId call);
    // Removes the calls that wait for the job, and returns them.
    std::vector<CallId> takeCalls(KeyedJob &job);
    // Removes the job if it is released and has no runs left.
    std::optional<Drained> removeIfDrained(JobKey key);

    // Jobs that have not been released.
    std::vector<JobKey> unreleased() const;
    // Jobs that have not been released and for which no order has been sent.
    std::vector<JobKey> unstarted() const;
    // Number of these jobs in the queue.
    std::size_t unstarted(const std::string &queue) const;

private:
    Jobs m_jobs;
    // Sum of bytesOf() the jobs; successors of released jobs are not counted.
    std::size_t m_bytes = 0;
    // Key of the job that each call waits for.
    std::unordered_map<CallId, JobKey> m_calls;
};

} // namespace Bluebellquay
