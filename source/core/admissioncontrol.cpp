#include "core/admissioncontrol.h"

#include "core/answerregistry.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Bluebellquay {

namespace {

// Time constant of the average of the bound work.
constexpr double RateSeconds = 1.0;
// The wait is expected to be this fraction longer than estimated, because a refusal on arrival is
// better than one at the deadline.
constexpr int WaitMarginDivisor = 2;
constexpr Duration MinimumRetryAfter{100'000};
constexpr Duration NoWorkerRetryAfter{1'000'000};
// Outputs kept for callers to fetch; with the records themselves this keeps a full home below its
// memory target.
constexpr std::size_t MaxAnswerBytes = std::size_t(40) << 20;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double decaySince(TimePoint before, TimePoint now)
{
    return std::exp(-std::max(0.0, seconds(now - before)) / RateSeconds);
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

std::optional<Answer> AdmissionControl::check(TimePoint now, const Request &request) const
{
    if (!m_state.executorServes && m_state.peers.servingAgents().empty())
        return notRunAnswer(Reason::NoWorker, NoWorkerRetryAfter);
    if (m_state.records.answerBytes() > MaxAnswerBytes)
        return notRunAnswer(Reason::Overload, NoWorkerRetryAfter);
    if (auto refusal = checkQueue(now, request))
        return refusal;
    return checkDeadline(now, request);
}

std::optional<Answer> AdmissionControl::checkQueue(TimePoint now, const Request &request) const
{
    const std::size_t urgency = static_cast<std::size_t>(request.urgency);
    const std::uint32_t limit = request.branch.queueLimits[urgency];
    const Duration retryAfter = std::max(
        MinimumRetryAfter, expectedWait(now, request.urgency, request.job.tasks.size() == 1));
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

std::optional<Answer> AdmissionControl::checkDeadline(TimePoint now, const Request &request) const
{
    const Duration needed =
        expectedWait(now, request.urgency, request.job.tasks.size() == 1) + request.expectedRunTime;
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
    m_queuedSeconds[queueOf(active.urgency, active.isSingle())] += seconds(work);
}

void AdmissionControl::noteDroppedWork(const ActiveSubmission &active, Duration work)
{
    double &queued = m_queuedSeconds[queueOf(active.urgency, active.isSingle())];
    queued = std::max(0.0, queued - seconds(work));
}

void AdmissionControl::noteBoundWork(TimePoint now, const ActiveSubmission &active, Duration work)
{
    noteDroppedWork(active, work);
    const double decay = decaySince(m_lastBound, now);
    m_lastBound = now;
    for (double &rate : m_boundRate)
        rate *= decay;
    m_boundRate[queueOf(active.urgency, active.isSingle())] += seconds(work) / RateSeconds;
}

double AdmissionControl::servedPerSecond(TimePoint now, std::size_t queue) const
{
    double slots = m_state.executorServes ? m_state.executorLoad.slots : 0;
    // Free slots of other agents are a lagging hint, and all homes count on them at once.
    double free = 0;
    for (const auto &[incarnation, peer] : m_state.peers.all()) {
        if (peer.up && peer.loadKnown && peer.info.state == AgentState::Serving)
            free += peer.load.freeSlots;
    }
    slots += free / (static_cast<double>(m_state.peers.servingCount()) + 1);
    constexpr double LeastShare = 0.05;
    const double decay = decaySince(m_lastBound, now);
    const double all = decay * std::accumulate(m_boundRate.begin(), m_boundRate.end(), 0.0);
    const double before =
        decay * std::accumulate(m_boundRate.begin(), m_boundRate.begin() + queue, 0.0);
    const double total = std::max({1.0, slots, all});
    return std::max(total - before, total * LeastShare);
}

Duration AdmissionControl::expectedWait(TimePoint now, Urgency urgency, bool single) const
{
    const std::size_t last = queueOf(urgency, single);
    const double ahead =
        std::accumulate(m_queuedSeconds.begin(), m_queuedSeconds.begin() + last + 1, 0.0);
    if (ahead <= 0)
        return Duration(0);
    return fromSeconds(ahead / servedPerSecond(now, last));
}

std::size_t AdmissionControl::waiting() const
{
    std::size_t sum = 0;
    for (const auto &[branch, counts] : m_waitingByBranch)
        sum += std::accumulate(counts.begin(), counts.end(), std::size_t(0));
    return sum;
}

} // namespace Bluebellquay
