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
    std::optional<Answer> check(TimePoint now, const Request &request) const;

    // A submission waits for its first task; the counterpart is noteFirstBound().
    void noteWaiting(const ActiveSubmission &active);
    void noteFirstBound(const ActiveSubmission &active);
    // Work that waits or was bound, in expected run time of its tasks.
    void noteQueuedWork(const ActiveSubmission &active, Duration work);
    void noteBoundWork(TimePoint now, const ActiveSubmission &active, Duration work);
    // Work that left the queue without being bound.
    void noteDroppedWork(const ActiveSubmission &active, Duration work);

    // No submission is in progress: clears residues that rounding and late results have left.
    void noteIdle() { m_queuedSeconds = {}; }

    // Time until a submission of this class would get its first task.
    Duration expectedWait(TimePoint now, Urgency urgency, bool single) const;
    std::size_t waiting() const;

private:
    // Singles are served before the tasks of jobs of the same class.
    static constexpr std::size_t QueueCount = UrgencyClasses * 2;
    static std::size_t queueOf(Urgency urgency, bool single)
    {
        return static_cast<std::size_t>(urgency) * 2 + (single ? 0 : 1);
    }
    std::optional<Answer> checkQueue(TimePoint now, const Request &request) const;
    std::optional<Answer> checkDeadline(TimePoint now, const Request &request) const;
    // Seconds of run time per second that are left for a queue after those served before it.
    double servedPerSecond(TimePoint now, std::size_t queue) const;

    using Counts = std::array<std::uint32_t, UrgencyClasses>;

    const HomeState &m_state;
    // Submissions without a bound task; entries are removed when all counts are zero.
    std::map<std::string, Counts, std::less<>> m_waitingByBranch;
    std::map<std::pair<std::string, std::string>, Counts> m_waitingByTeam;
    // Seconds of expected run time without a binding, in the order of service.
    std::array<double, QueueCount> m_queuedSeconds{};
    // Seconds of run time bound per second by queue, as an exponential average.
    std::array<double, QueueCount> m_boundRate{};
    TimePoint m_lastBound{};
};

} // namespace Bluebellquay
