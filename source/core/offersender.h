// Offers of a home to agents: the agent's own slots first, then those that the placement policy
// selects; withdrawals when nothing is left to pull.
#pragma once

#include "core/homestate.h"
#include "core/outbox.h"
#include "core/placementpolicy.h"
#include "core/runtimeestimates.h"

#include <vector>

namespace Bluebellquay {

class OfferSender
{
public:
    OfferSender(HomeState &state, const RunTimeEstimates &estimates)
        : m_state(state)
        , m_estimates(estimates)
    { }

    // The submission has unbound tasks that are to be offered.
    void request(const SubmissionId &id) { m_toOffer.push_back(id); }
    // Sends the requested offers in two rounds: to the agent itself, and, if tasks are still
    // unbound when those messages have been handled, to others. Returns false if there was nothing
    // to do.
    bool sendRequested(TimePoint now, Outbox &out);
    // An agent started to serve or is connected again: offers it what is unbound.
    void offerAllTo(TimePoint now, Incarnation agent, Outbox &out);
    // Drops all reservations. With stopStarted, also tells the agents with bound tasks.
    void withdraw(const SubmissionId &id, ActiveSubmission &active, bool stopStarted, Outbox &out);
    // The agent is not connected, so its reservations are gone.
    void forgetAgent(Incarnation agent);

private:
    void offer(TimePoint now, const SubmissionId &id, ActiveSubmission &active, Incarnation agent,
               Outbox &out);
    // True if an attempt failed on this agent and another agent is left to try.
    bool avoids(const ActiveSubmission &active, Incarnation agent) const;
    void offerToOthers(TimePoint now, const SubmissionId &id, Outbox &out);

    HomeState &m_state;
    const RunTimeEstimates &m_estimates;
    LoadAwarePlacement m_placement;
    std::vector<SubmissionId> m_toOffer;
    // Submissions that were offered to the agent itself in the current round.
    std::vector<SubmissionId> m_toOfferToOthers;
};

} // namespace Bluebellquay
