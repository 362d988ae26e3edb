// Home of submissions. The home of a submission is the agent that its id names: it keeps the record
// of the submission, offers its tasks to executing agents, and gives the one final answer.
// docs/design.md, section 2, states the invariants H1 to H5.
#pragma once

#include "core/admissioncontrol.h"
#include "core/answerregistry.h"
#include "core/handovercoordinator.h"
#include "core/homestate.h"
#include "core/offersender.h"
#include "core/runtimeestimates.h"
#include "core/taskcoordinator.h"

namespace Bluebellquay {

class HomeCore
{
public:
    HomeCore(const AgentCoreSettings &settings, CoreStatistics &statistics, PeerTable &peers,
             TimePoint now);

    // Calls that entries forward for callers.
    void handle(TimePoint now, Incarnation from, Submit message, Outbox &out);
    void handle(TimePoint now, Incarnation from, const Await &message, Outbox &out);
    void handle(TimePoint now, Incarnation from, const StopWaiting &message, Outbox &out);
    void handle(TimePoint now, Incarnation from, const Cancel &message, Outbox &out);
    void handle(TimePoint now, Incarnation from, const Refuse &message, Outbox &out);
    void handle(TimePoint now, Incarnation from, const Query &message, Outbox &out);
    // Messages from other agents, or from this one.
    void handle(TimePoint now, Incarnation from, const Pull &message, Outbox &out);
    void handle(TimePoint now, Incarnation from, TaskResult message, Outbox &out);
    void handle(TimePoint now, Incarnation from, const TaskState &message, Outbox &out);
    void handle(TimePoint now, Incarnation from, const Handover &message, Outbox &out);
    void handle(TimePoint now, Incarnation from, const HandoverAck &message, Outbox &out);

    void agentUp(TimePoint now, Incarnation agent, Outbox &out);
    void agentDown(Incarnation agent);
    void agentLost(TimePoint now, Incarnation agent, Outbox &out);
    // An agent, possibly this one, has started to take tasks.
    void agentServes(TimePoint now, Incarnation agent, Outbox &out);
    void entryUp(Incarnation entry, Outbox &out) { m_handover.announceTo(entry, out); }
    void entryDown(Incarnation entry);

    void setRules(std::shared_ptr<const RuleSet> rules) { m_state.rules = std::move(rules); }
    // Whether the executor of this agent takes new tasks, and how loaded it is.
    void setExecutor(bool serves, const AgentLoad &load);
    // No new submission is accepted; what is in progress is finished.
    void beginStop() { m_state.stopping = true; }
    // Hands the final answers to a successor when no submission is in progress. Called repeatedly
    // while stopping.
    void continueStop(TimePoint now, Outbox &out);
    bool stopped() const;

    bool sendOffers(TimePoint now, Outbox &out) { return m_offers.sendRequested(now, out); }
    void flush(TimePoint now, Outbox &out) { m_tasks.flush(now, out); }
    // Moves the issue window and drops expired records; called before anything else of a call.
    void advanceWindow(TimePoint now);
    void advance(TimePoint now, Outbox &out);
    std::optional<TimePoint> nextWakeup() const;

    IssuePeriod issuePeriod() const { return m_state.window.current(); }
    std::size_t records() const { return m_state.records.size(); }
    std::size_t activeSubmissions() const { return m_state.records.active().size(); }
    std::size_t adoptedHomes() const { return m_handover.adoptedHomes(); }
    std::size_t waiters() const { return m_answers.waiters(); }

private:
    // True if a call for this id is answered here; otherwise it has been replied to.
    bool isHomeOf(const Waiter &caller, const SubmissionId &id, Outbox &out);
    // For an id without a record: returns true if a record may be created now; otherwise replies
    // to the caller and returns false.
    bool mayCreateRecord(const Waiter &caller, const SubmissionId &id, Outbox &out);
    void handleNewSubmission(TimePoint now, const Waiter &caller, Submit message,
                             const JobDigest &digest, Outbox &out);
    void refuse(const Waiter &caller, const SubmissionId &id, Answer answer,
                const std::optional<JobDigest> &digest, Outbox &out);

    HomeState m_state;
    RunTimeEstimates m_estimates;
    AnswerRegistry m_answers;
    OfferSender m_offers;
    AdmissionControl m_admission;
    TaskCoordinator m_tasks;
    HandoverCoordinator m_handover;
};

} // namespace Bluebellquay
