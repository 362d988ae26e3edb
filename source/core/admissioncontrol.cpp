#include "core/admissioncontrol.h"

#include "core/answerdesk.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Bluebellquay {

namespace {

// Time constant of the average of the bound work.
constexpr double RateSeconds = 1.0;
// Percent of the expected wait, and multiple of the median run time, that must fit in the deadline.
constexpr int WaitMargin = 200;
constexpr int RunTimeMargin = 2;
// Expected run time of the first range of single requests.
constexpr Duration FirstSingleRange{50'000};
constexpr Duration MinimumRetryAfter{100'000};
constexpr Duration NoWorkerRetryAfter{1'000'000};
// Outputs kept for callers to fetch; with the records themselves this keeps a full home below its
// memory target.
constexpr std::size_t MaxAnswerBytes = std::size_t(40) << 20;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    constexpr double LongestSeconds = 3600;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(value, LongestSeconds)));
}

template <typename Map, typename Key>
void decrement(Map &map, const Key &key, std::size_t urgency)
{
    const auto position = map.find(key);
    if (position == map.end())
        return;
    --position->second[urgency];
    if (position->second == typename Map::mapped_type{})
        map.erase(position);
}

} // namespace

std::size_t AdmissionControl::queueOf(Urgency urgency, bool single, Duration expectedRunTime)
{
    std::size_t queue = SingleQueues;
    if (single) {
        queue = 0;
        for (Duration limit = FirstSingleRange; queue + 1 < SingleQueues && expectedRunTime > limit;
             limit *= 2)
            ++queue;
    }
    return static_cast<std::size_t>(urgency) * QueuesPerClass + queue;
}

std::optional<Answer> AdmissionControl::check(const Request &request) const
{
    if (!m_state.executorServes && m_state.peers.servingAgents().empty())
        return notRunAnswer(Reason::NoWorker, NoWorkerRetryAfter);
    if (m_state.records.answerBytes() > MaxAnswerBytes)
        return notRunAnswer(Reason::Overload, NoWorkerRetryAfter);
    if (auto refusal = checkQueue(request))
        return refusal;
    return checkDeadline(request);
}

std::optional<Answer> AdmissionControl::checkQueue(const Request &request) const
{
    const std::size_t urgency = static_cast<std::size_t>(request.urgency);
    const std::uint32_t limit = request.branch.queueLimits[urgency];
    const Duration retryAfter = std::max(
        MinimumRetryAfter,
        expectedWait(request.urgency, request.job.tasks.size() == 1, request.expectedRunTime));
    const auto branch = m_waitingByBranch.find(request.job.branch);
    if (branch != m_waitingByBranch.end() && branch->second[urgency] >= limit)
        return notRunAnswer(Reason::QueueFull, retryAfter);
    const auto quota = request.branch.teamQuotas.find(request.job.team);
    const auto team = m_waitingByTeam.find({request.job.branch, request.job.team});
    if (quota == request.branch.teamQuotas.end() || team == m_waitingByTeam.end())
        return std::nullopt;
    const auto teamLimit = std::max(1.0, std::ceil(quota->second * limit));
    if (team->second[urgency] >= teamLimit)
        return notRunAnswer(Reason::QuotaExceeded, retryAfter);
    return std::nullopt;
}

std::optional<Answer> AdmissionControl::checkDeadline(const Request &request) const
{
    const Duration wait =
        expectedWait(request.urgency, request.job.tasks.size() == 1, request.expectedRunTime);
    const Duration needed = wait * WaitMargin / 100 + request.expectedRunTime * RunTimeMargin;
    if (needed <= request.deadline)
        return std::nullopt;
    return notRunAnswer(Reason::DeadlineTooShort,
                        std::max(MinimumRetryAfter, needed - request.deadline));
}

void AdmissionControl::noteWaiting(const ActiveSubmission &active)
{
    const std::size_t urgency = static_cast<std::size_t>(active.urgency);
    ++m_waitingByBranch[active.job.branch][urgency];
    ++m_waitingByTeam[{active.job.branch, active.job.team}][urgency];
}

void AdmissionControl::noteFirstBound(const ActiveSubmission &active)
{
    const std::size_t urgency = static_cast<std::size_t>(active.urgency);
    decrement(m_waitingByBranch, active.job.branch, urgency);
    decrement(m_waitingByTeam, std::pair(active.job.branch, active.job.team), urgency);
}

void AdmissionControl::noteQueuedWork(const ActiveSubmission &active, Duration work)
{
    m_queuedSeconds[queueOf(active)] += seconds(work);
}

void AdmissionControl::noteDroppedWork(const ActiveSubmission &active, Duration work)
{
    double &queued = m_queuedSeconds[queueOf(active)];
    queued = std::max(0.0, queued - seconds(work));
}

void AdmissionControl::noteBoundWork(TimePoint now, const ActiveSubmission &active, Duration work)
{
    noteDroppedWork(active, work);
    const double passed = std::max(0.0, seconds(now - m_lastBound));
    m_lastBound = now;
    for (double &rate : m_boundRates)
        rate *= std::exp(-passed / RateSeconds);
    m_boundRates[queueOf(active)] += seconds(work) / RateSeconds;
}

double AdmissionControl::servedPerSecond(std::size_t queue) const
{
    double slots = m_state.executorServes ? m_state.executorLoad.slots : 0;
    double freeSlots = 0;
    double agents = 1;
    for (const auto &[incarnation, peer] : m_state.peers.all()) {
        if (!peer.up || !peer.loadKnown || peer.info.state != AgentState::Serving)
            continue;
        ++agents;
        freeSlots += peer.load.freeSlots;
    }
    // All homes see the same free slots.
    slots += freeSlots / agents;
    const auto first = m_boundRates.begin();
    const auto position = first + static_cast<std::ptrdiff_t>(queue);
    const double ahead = std::accumulate(first, position, 0.0);
    const double total = std::accumulate(position, m_boundRates.end(), ahead);
    return std::max(1.0, std::max(slots, total) - ahead);
}

Duration AdmissionControl::expectedWait(Urgency urgency, bool single,
                                        Duration expectedRunTime) const
{
    const std::size_t last = queueOf(urgency, single, expectedRunTime);
    const auto first = m_queuedSeconds.begin();
    const double ahead = std::accumulate(first, first + static_cast<std::ptrdiff_t>(last) + 1, 0.0);
    if (ahead <= 0)
        return Duration(0);
    return fromSeconds(ahead / servedPerSecond(last));
}

std::size_t AdmissionControl::waiting() const
{
    std::size_t sum = 0;
    for (const auto &[branch, counts] : m_waitingByBranch)
        sum += std::accumulate(counts.begin(), counts.end(), std::size_t(0));
    return sum;
}

} // namespace Bluebellquay
