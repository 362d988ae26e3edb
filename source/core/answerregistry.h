// Final answers of a home and the calls that wait for them. A refusal is stored before it is sent
// (invariant H4), and each reply goes to the entry and correlation of the call.
#pragma once

#include "core/homestate.h"
#include "core/outbox.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace Bluebellquay {

class AnswerRegistry
{
public:
    explicit AnswerRegistry(HomeState &state)
        : m_state(state)
    { }

    void reply(const Waiter &to, const SubmissionId &id, ReplyKind kind, Outbox &out) const;
    void replyFinal(const Waiter &to, const SubmissionId &id, const Answer &answer,
                    Outbox &out) const;
    // Tells the state of an existing record.
    void replyRecord(const Waiter &to, const SubmissionId &id, Outbox &out) const;
    // Replies at once if the record has a final answer, otherwise when it gets one.
    void wait(const Waiter &waiter, const SubmissionId &id, Outbox &out);
    void stopWaiting(const Waiter &waiter);
    // The link to this entry is gone, and with it the calls on it.
    void dropEntry(Incarnation entry);

    // Stores the final answer of a submission that has no record or is in progress, and replies to
    // all waiters. Returns the submission if one was in progress.
    std::unique_ptr<ActiveSubmission> finish(const SubmissionId &id, Answer answer, Outbox &out);

    std::size_t waiters() const;

private:
    HomeState &m_state;
    // Each waiter here is in the list of its submission, and the other way round.
    std::map<Incarnation, std::unordered_map<Correlation, SubmissionId>> m_waiting;
};

// A refusal or the end of a submission before any task was started.
Answer notRunAnswer(Reason reason, std::optional<Duration> retryAfter, std::string detail = {});

} // namespace Bluebellquay
