#include "core/homecore.h"

namespace Bluebellquay {

namespace {

// Retry delay that is suggested to callers when the home is stopping or has no rules yet.
constexpr Duration StoppingRetryAfter{1'000'000};

Answer unknownAnswer(Reason reason)
{
    return Answer{Outcome::Unknown, reason, {}, std::nullopt, {}};
}

} // namespace

HomeCore::HomeCore(const AgentCoreSettings &settings, CoreStatistics &statistics, PeerTable &peers,
                   TimePoint now)
    : m_state(settings, statistics, peers, now)
    , m_answers(m_state)
    , m_offers(m_state, m_estimates)
    , m_admission(m_state)
    , m_tasks(m_state, m_answers, m_offers, m_estimates, m_admission)
    , m_handover(m_state)
{ }

bool HomeCore::isHomeOf(const Waiter &caller, const SubmissionId &id, Outbox &out)
{
    if (id.home() == m_state.self())
        return true;
    if (!m_handover.answersFor(id.home())) {
        m_state.statistics.add(CoreCounter::WrongHomes);
        m_answers.reply(caller, id, ReplyKind::WrongHome, out);
        return false;
    }
    if (m_state.records.find(id) != nullptr)
        return true;
    // The stopped home handed over every record that it still had.
    m_answers.replyFinal(caller, id, unknownAnswer(Reason::ExpiredId), out);
    return false;
}

bool HomeCore::mayCreateRecord(const Waiter &caller, const SubmissionId &id, Outbox &out)
{
    if (m_handover.begun()) {
        m_state.statistics.add(CoreCounter::WrongHomes);
        m_answers.reply(caller, id, ReplyKind::WrongHome, out);
        return false;
    }
    // No ids of this period have been issued yet, so nothing can be said about the id.
    if (m_state.window.isFuture(id.period())) {
        m_answers.reply(caller, id, ReplyKind::NotSeen, out);
        return false;
    }
    if (!m_state.window.accepts(id.period())) {
        m_state.statistics.add(CoreCounter::ExpiredIds);
        m_answers.replyFinal(caller, id, unknownAnswer(Reason::ExpiredId), out);
        return false;
    }
    if (m_state.records.full()) {
        // There is no space to record a refusal, and a refusal must be recorded before it is sent.
        m_state.statistics.add(CoreCounter::RecordsFull);
        m_answers.reply(caller, id, ReplyKind::NotSeen, out);
        return false;
    }
    return true;
}

void HomeCore::handle(TimePoint now, Incarnation from, Submit message, Outbox &out)
{
    const Waiter caller{from, message.correlation};
    if (!isHomeOf(caller, message.id, out))
        return;
    const JobDigest digest = digestOf(message.job);
    const SubmissionRecord *record = m_state.records.find(message.id);
    if (record == nullptr) {
        if (mayCreateRecord(caller, message.id, out))
            handleNewSubmission(now, caller, std::move(message), digest, out);
        return;
    }
    m_state.statistics.add(CoreCounter::DuplicateSubmits);
    if (record->digest && *record->digest != digest) {
        m_state.statistics.add(CoreCounter::BodyMismatches);
        m_answers.reply(caller, message.id, ReplyKind::BodyMismatch, out);
        return;
    }
    m_state.records.setDigest(message.id, digest);
    if (message.detach)
        m_answers.replyRecord(caller, message.id, out);
    else
        m_answers.wait(caller, message.id, out);
}

void HomeCore::handleNewSubmission(TimePoint now, const Waiter &caller, Submit message,
                                   const JobDigest &digest, Outbox &out)
{
    const auto refuseWith = [&](Answer answer) {
        refuse(caller, message.id, std::move(answer), digest, out);
    };
    m_state.statistics.add(CoreCounter::NewSubmissions);
    if (m_state.stopping)
        return refuseWith(notRunAnswer(Reason::Stopping, StoppingRetryAfter));
    if (message.job.tasks.empty() || message.job.tasks.size() > MaxTasksPerJob)
        return refuseWith(
            notRunAnswer(Reason::InvalidJob, std::nullopt,
                         "a job has 1 to " + std::to_string(MaxTasksPerJob) + " tasks"));
    if (!m_state.rules)
        return refuseWith(
            notRunAnswer(Reason::Overload, StoppingRetryAfter, "no rules are in force yet"));
    const KindRule *rule = m_state.rules->findKind(message.job.branch, message.job.kind);
    if (rule == nullptr)
        return refuseWith(notRunAnswer(Reason::UnknownKind, std::nullopt));
    const Duration deadline = message.deadline > Duration(0) ? message.deadline : rule->deadline;
    auto active = std::make_unique<ActiveSubmission>(std::move(message.job), *rule, now, deadline);
    const AdmissionControl::Request request{
        active->job, *m_state.rules->findBranch(active->job.branch), active->urgency, deadline,
        m_estimates.expected(active->job.branch, active->job.kind, rule->expectedRunTime)};
    if (auto refusal = m_admission.check(now, request))
        return refuseWith(std::move(*refusal));
    m_state.records.open(message.id, digest, std::move(active));
    m_tasks.accept(now, message.id);
    if (message.detach)
        m_answers.replyRecord(caller, message.id, out);
    else
        m_answers.wait(caller, message.id, out);
}

void HomeCore::refuse(const Waiter &caller, const SubmissionId &id, Answer answer,
                      const std::optional<JobDigest> &digest, Outbox &out)
{
    m_answers.finish(id, std::move(answer), out);
    if (digest)
        m_state.records.setDigest(id, *digest);
    m_answers.replyRecord(caller, id, out);
}

void HomeCore::handle(TimePoint /*now*/, Incarnation from, const Await &message, Outbox &out)
{
    const Waiter caller{from, message.correlation};
    if (!isHomeOf(caller, message.id, out))
        return;
    if (m_state.records.find(message.id) != nullptr)
        m_answers.wait(caller, message.id, out);
    else if (mayCreateRecord(caller, message.id, out))
        m_answers.reply(caller, message.id, ReplyKind::NotSeen, out);
}

void HomeCore::handle(TimePoint /*now*/, Incarnation from, const StopWaiting &message,
                      Outbox & /*out*/)
{
    m_answers.stopWaiting(Waiter{from, message.correlation});
}

void HomeCore::handle(TimePoint /*now*/, Incarnation from, const Cancel &message, Outbox &out)
{
    const Waiter caller{from, message.correlation};
    if (!isHomeOf(caller, message.id, out))
        return;
    if (m_state.records.find(message.id) == nullptr) {
        // The refusal is recorded so that a submit that arrives after its cancel is not run.
        if (mayCreateRecord(caller, message.id, out))
            refuse(caller, message.id, notRunAnswer(Reason::CancelledBeforeStart, std::nullopt),
                   std::nullopt, out);
        return;
    }
    m_tasks.cancel(message.id, out);
    m_answers.replyRecord(caller, message.id, out);
}

void HomeCore::handle(TimePoint /*now*/, Incarnation from, const Refuse &message, Outbox &out)
{
    const Waiter caller{from, message.correlation};
    if (!isHomeOf(caller, message.id, out))
        return;
    if (m_state.records.find(message.id) != nullptr) {
        m_answers.replyRecord(caller, message.id, out);
        return;
    }
    if (!mayCreateRecord(caller, message.id, out))
        return;
    const std::optional<Duration> retryAfter =
        message.retryAfter > Duration(0) ? std::optional(message.retryAfter) : std::nullopt;
    refuse(caller, message.id, notRunAnswer(message.reason, retryAfter), std::nullopt, out);
}

void HomeCore::handle(TimePoint /*now*/, Incarnation from, const Query &message, Outbox &out)
{
    const Waiter caller{from, message.correlation};
    if (!isHomeOf(caller, message.id, out))
        return;
    if (m_state.records.find(message.id) != nullptr)
        m_answers.replyRecord(caller, message.id, out);
    else if (mayCreateRecord(caller, message.id, out))
        m_answers.reply(caller, message.id, ReplyKind::NotSeen, out);
}

void HomeCore::handle(TimePoint now, Incarnation from, const Pull &message, Outbox &out)
{
    m_tasks.pull(now, from, message, out);
}

void HomeCore::handle(TimePoint now, Incarnation from, TaskResult message, Outbox &out)
{
    m_tasks.result(now, from, std::move(message), out);
}

void HomeCore::handle(TimePoint now, Incarnation from, const TaskState &message, Outbox &out)
{
    m_tasks.taskState(now, from, message, out);
}

void HomeCore::handle(TimePoint /*now*/, Incarnation from, const Handover &message, Outbox &out)
{
    m_handover.adopt(from, message, out);
}

void HomeCore::handle(TimePoint /*now*/, Incarnation from, const HandoverAck &message, Outbox &out)
{
    m_handover.acknowledged(from, message, out);
}

void HomeCore::agentUp(TimePoint now, Incarnation agent, Outbox &out)
{
    m_tasks.agentUp(agent, out);
    const Peer *peer = m_state.peers.find(agent);
    if (peer != nullptr && peer->info.state == AgentState::Serving)
        m_offers.offerAllTo(now, agent, out);
}

void HomeCore::agentDown(Incarnation agent)
{
    m_tasks.agentDown(agent);
}

void HomeCore::agentLost(TimePoint now, Incarnation agent, Outbox &out)
{
    m_tasks.agentLost(now, agent, out);
}

void HomeCore::agentServes(TimePoint now, Incarnation agent, Outbox &out)
{
    m_offers.offerAllTo(now, agent, out);
}

void HomeCore::entryDown(Incarnation entry)
{
    m_answers.dropEntry(entry);
}

void HomeCore::setExecutor(bool serves, const AgentLoad &load)
{
    m_state.executorServes = serves;
    m_state.executorLoad = load;
}

void HomeCore::continueStop(TimePoint now, Outbox &out)
{
    if (m_state.records.active().empty() && !m_tasks.acksPending())
        m_handover.proceed(now, out);
}

bool HomeCore::stopped() const
{
    return m_handover.done();
}

void HomeCore::advanceWindow(TimePoint now)
{
    m_state.window.advance(now);
    if (!m_handover.begun()) {
        m_state.records.expire(m_state.window.current());
        m_handover.expire();
    }
}

void HomeCore::advance(TimePoint now, Outbox &out)
{
    m_tasks.advance(now, out);
}

std::optional<TimePoint> HomeCore::nextWakeup() const
{
    std::optional<TimePoint> next = m_tasks.nextWakeup();
    // Records expire at the change of the period.
    if (m_state.records.size() > 0)
        next = earliest(next, m_state.window.nextChange());
    return next;
}

} // namespace Bluebellquay
