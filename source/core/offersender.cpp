#include "core/offersender.h"

#include <algorithm>
#include <utility>

namespace Bluebellquay {

namespace {

bool contains(const std::vector<Incarnation> &list, Incarnation value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

} // namespace

void OfferSender::offer(TimePoint now, const SubmissionId &id, ActiveSubmission &active,
                        Incarnation agent, Outbox &out)
{
    if (contains(active.declinedBy, agent))
        return;
    Reserve reserve;
    reserve.submission = id;
    reserve.tasks = active.tasks.unbound();
    reserve.branch = active.job.branch;
    reserve.kind = active.job.kind;
    reserve.customer = active.job.customer;
    reserve.team = active.job.team;
    reserve.urgency = active.urgency;
    reserve.jobTasks = active.tasks.tasks();
    reserve.expectedRunTime =
        m_estimates.expected(active.job.branch, active.job.kind, active.rule.expectedRunTime);
    if (!active.isSingle()) {
        Duration declared{0};
        for (const TaskSpec &task : active.job.tasks)
            declared += task.declaredRunTime;
        if (declared > Duration(0))
            reserve.expectedRunTime = declared / reserve.jobTasks;
    }
    reserve.age = now - active.arrived;
    reserve.need = active.job.need;
    if (!contains(active.reservedAt, agent))
        active.reservedAt.push_back(agent);
    active.lastOffer = now;
    out.send(agent, std::move(reserve));
}

bool OfferSender::avoids(const ActiveSubmission &active, Incarnation agent) const
{
    if (!contains(active.failedOn, agent))
        return false;
    std::vector<Incarnation> others = m_state.peers.servingAgents();
    if (m_state.executorServes)
        others.push_back(m_state.self());
    return std::any_of(others.begin(), others.end(),
                       [&](Incarnation other) { return !contains(active.failedOn, other); });
}

bool OfferSender::sendRequested(TimePoint now, Outbox &out)
{
    if (m_toOffer.empty() && m_toOfferToOthers.empty())
        return false;
    const bool ownRound = !m_toOffer.empty();
    const std::vector<SubmissionId> ids =
        std::exchange(ownRound ? m_toOffer : m_toOfferToOthers, {});
    for (const SubmissionId &id : ids) {
        if (!ownRound) {
            offerToOthers(now, id, out);
            continue;
        }
        ActiveSubmission *active = m_state.records.findActive(id);
        if (active == nullptr || active->tasks.unbound() == 0)
            continue;
        if (m_state.executorServes && !avoids(*active, m_state.self()))
            offer(now, id, *active, m_state.self(), out);
        m_toOfferToOthers.push_back(id);
    }
    return true;
}

void OfferSender::offerToOthers(TimePoint now, const SubmissionId &id, Outbox &out)
{
    ActiveSubmission *active = m_state.records.findActive(id);
    if (active == nullptr || active->tasks.unbound() == 0)
        return;
    PlacementDemand demand;
    demand.tasks = active->tasks.unbound();
    demand.jobTasks = active->tasks.tasks();
    demand.urgency = active->urgency;
    std::vector<Incarnation> candidates = m_state.peers.servingAgents();
    std::erase_if(candidates, [&](Incarnation agent) { return avoids(*active, agent); });
    const std::vector<Incarnation> chosen =
        m_placement.select(m_state.peers, candidates, demand, m_state.random);
    for (const Incarnation agent : chosen) {
        offer(now, id, *active, agent, out);
        m_state.peers.noteOffered(agent, demand.tasks);
    }
}

void OfferSender::offerAllTo(TimePoint now, Incarnation agent, Outbox &out)
{
    for (const auto &[id, active] : m_state.records.active()) {
        if (active->tasks.unbound() > 0)
            offer(now, id, *active, agent, out);
    }
}

void OfferSender::withdraw(const SubmissionId &id, ActiveSubmission &active, bool stopStarted,
                           Outbox &out)
{
    std::vector<Incarnation> agents = std::exchange(active.reservedAt, {});
    if (stopStarted) {
        for (const Incarnation agent : active.tasks.boundAgents()) {
            if (!contains(agents, agent))
                agents.push_back(agent);
        }
    }
    for (const Incarnation agent : agents) {
        if (m_state.peers.isUp(agent))
            out.send(agent, Withdraw{id, stopStarted});
    }
}

void OfferSender::forgetAgent(Incarnation agent)
{
    for (const auto &[id, active] : m_state.records.active())
        std::erase(active->reservedAt, agent);
}

} // namespace Bluebellquay
