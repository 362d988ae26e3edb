#include "core/answerregistry.h"

#include <algorithm>

namespace Bluebellquay {

Answer notRunAnswer(Reason reason, std::optional<Duration> retryAfter, std::string detail)
{
    return Answer{Outcome::NotRun, reason, std::move(detail), retryAfter, {}};
}

void AnswerRegistry::reply(const Waiter &to, const SubmissionId &id, ReplyKind kind,
                           Outbox &out) const
{
    Reply message;
    message.correlation = to.correlation;
    message.id = id;
    message.kind = kind;
    if (const ActiveSubmission *active = m_state.records.findActive(id)) {
        message.progress.tasks = active->tasks.tasks();
        message.progress.finished = active->tasks.succeeded();
        message.progress.started = active->tasks.bound() + active->tasks.succeeded();
    }
    out.send(to.entry, std::move(message));
}

void AnswerRegistry::replyFinal(const Waiter &to, const SubmissionId &id, const Answer &answer,
                                Outbox &out) const
{
    Reply message;
    message.correlation = to.correlation;
    message.id = id;
    message.kind = ReplyKind::Final;
    message.answer = answer;
    out.send(to.entry, std::move(message));
}

void AnswerRegistry::replyRecord(const Waiter &to, const SubmissionId &id, Outbox &out) const
{
    const SubmissionRecord *record = m_state.records.find(id);
    if (record != nullptr && record->answer)
        replyFinal(to, id, *record->answer, out);
    else
        reply(to, id, ReplyKind::Running, out);
}

void AnswerRegistry::wait(const Waiter &waiter, const SubmissionId &id, Outbox &out)
{
    ActiveSubmission *active = m_state.records.findActive(id);
    if (active == nullptr) {
        replyRecord(waiter, id, out);
        return;
    }
    // A duplicated frame must not lead to a second reply.
    if (m_waiting[waiter.entry].emplace(waiter.correlation, id).second)
        active->waiters.push_back(waiter);
}

void AnswerRegistry::stopWaiting(const Waiter &waiter)
{
    const auto entry = m_waiting.find(waiter.entry);
    if (entry == m_waiting.end())
        return;
    const auto position = entry->second.find(waiter.correlation);
    if (position == entry->second.end())
        return;
    if (ActiveSubmission *active = m_state.records.findActive(position->second))
        std::erase(active->waiters, waiter);
    entry->second.erase(position);
    if (entry->second.empty())
        m_waiting.erase(entry);
}

void AnswerRegistry::dropEntry(Incarnation entry)
{
    const auto position = m_waiting.find(entry);
    if (position == m_waiting.end())
        return;
    for (const auto &[correlation, id] : position->second) {
        if (ActiveSubmission *active = m_state.records.findActive(id))
            std::erase(active->waiters, Waiter{entry, correlation});
    }
    m_waiting.erase(position);
}

std::unique_ptr<ActiveSubmission> AnswerRegistry::finish(const SubmissionId &id, Answer answer,
                                                         Outbox &out)
{
    std::unique_ptr<ActiveSubmission> finished;
    m_state.statistics.addAnswer(answer);
    const Answer &stored = m_state.records.close(id, std::move(answer),
                                                 m_state.window.keepUntil(id.period()), &finished);
    if (!finished)
        return finished;
    finished->lifecycle.process(LifecycleEvent::AnswerStored{});
    const std::vector<Waiter> waiters = std::move(finished->waiters);
    finished->waiters.clear();
    for (const Waiter &waiter : waiters) {
        replyFinal(waiter, id, stored, out);
        stopWaiting(waiter);
    }
    return finished;
}

std::size_t AnswerRegistry::waiters() const
{
    std::size_t sum = 0;
    for (const auto &[entry, calls] : m_waiting)
        sum += calls.size();
    return sum;
}

} // namespace Bluebellquay
