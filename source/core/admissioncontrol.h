// Admission of new submissions at their home: a bounded queue for each branch and class, team
// shares of it, and the expected wait against the deadline. Uses only what the home knows by itself
// and the load hints of agents, so that homes need no shared counter.
#pragma once

#include "core/homestate.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Bluebellquay {

class AdmissionControl
{
public:
    struct Request
    {
        const Job &job;
        const BranchRule &branch;
        Urgency urgency;
        Duration deadline;
        // Expected run time of one task.
        Duration expectedRunTime;
    };

    explicit AdmissionControl(const HomeState &state)
        : m_state(state)
    { }

    // The refusal, or nothing if the submission is admitted.
    std::optional<Answer> check(const Request &request) const;

    // A submission waits for its first task; the counterpart is noteFirstBound().
    void noteWaiting(const ActiveSubmission &active);
    void noteFirstBound(const ActiveSubmission &active);
    // Work that waits or was bound, in expected run time of its tasks.
    void noteQueuedWork(const ActiveSubmission &active, Duration work);
    void noteBoundWork(TimePoint now, const ActiveSubmission &active, Duration work);
    // Work that left the queue without being bound.
    void noteDroppedWork(const ActiveSubmission &active, Duration work);

    // Time until a submission of this class would get its first task.
    Duration expectedWait(Urgency urgency, bool single, Duration expectedRunTime) const;
    std::size_t waiting() const;

private:
    // Singles are served before the tasks of jobs of the same class, and short singles before
    // longer ones. Singles are divided by their expected run time, each range twice as long as the
    // last.
    static constexpr std::size_t SingleQueues = 6;
    static constexpr std::size_t QueuesPerClass = SingleQueues + 1;
    static constexpr std::size_t QueueCount = UrgencyClasses * QueuesPerClass;
    static std::size_t queueOf(Urgency urgency, bool single, Duration expectedRunTime);
    static std::size_t queueOf(const ActiveSubmission &active)
    {
        return queueOf(active.urgency, active.isSingle(), active.expectedRunTime);
    }
    std::optional<Answer> checkQueue(const Request &request) const;
    std::optional<Answer> checkDeadline(const Request &request) const;
    // Seconds of run time that this home can get bound per second for work of this queue: what the
    // queues before it take is not available to it.
    double servedPerSecond(std::size_t queue) const;

    using Counts = std::array<std::uint32_t, UrgencyClasses>;

    const HomeState &m_state;
    // Submissions without a bound task; entries are removed when all counts are zero.
    std::map<std::string, Counts, std::less<>> m_waitingByBranch;
    std::map<std::pair<std::string, std::string>, Counts> m_waitingByTeam;
    // Seconds of expected run time without a binding, in the order of service.
    std::array<double, QueueCount> m_queuedSeconds{};
    // Seconds of run time bound per second, as exponential averages, in the order of service.
    std::array<double, QueueCount> m_boundRates{};
    TimePoint m_lastBound{};
};

} // namespace Bluebellquay
