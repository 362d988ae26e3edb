#include "core/siteauditor.h"

#include <algorithm>

namespace Bluebellquay {

void SiteAuditor::fail(const SubmissionId &id, const std::string &what)
{
    m_violations.push_back(id.toString() + ": " + what);
}

void SiteAuditor::expectBody(const SubmissionId &id, const Job &job, std::uint32_t allowedStarts)
{
    Track &track = m_tracks[id];
    track.allowedStarts = allowedStarts;
    Body body{digestOf(job), {}};
    for (const TaskSpec &task : job.tasks)
        body.payloads.push_back(task.payload);
    track.bodies.push_back(std::move(body));
}

void SiteAuditor::started(const SubmissionId &id, TaskIndex index, const std::string &payload)
{
    ++m_starts;
    Track &track = m_tracks[id];
    if (++track.startsByTask[index.value()] > track.allowedStarts)
        fail(id, "task " + std::to_string(index.value()) + " was started too often");
    if (track.answer && track.answer->outcome == Outcome::NotRun)
        fail(id, "a task was started after the answer \"not run\"");
    const bool known = std::any_of(track.bodies.begin(), track.bodies.end(), [&](const Body &body) {
        return index.value() < body.payloads.size() && body.payloads[index.value()] == payload;
    });
    if (!known)
        fail(id, "a task was started with the payload of another one");
}

void SiteAuditor::checkCompleted(const SubmissionId &id, const Track &track, const JobDigest *body,
                                 const Answer &answer)
{
    const bool matches =
        std::any_of(track.bodies.begin(), track.bodies.end(), [&](const Body &candidate) {
            if (body != nullptr && candidate.digest != *body)
                return false;
            return std::equal(answer.outputs.begin(), answer.outputs.end(),
                              candidate.payloads.begin(), candidate.payloads.end(),
                              [](const std::string &output, const std::string &payload) {
                                  return output == outputOf(payload);
                              });
        });
    if (!matches)
        fail(id, "the outputs are not those of the submitted body");
}

void SiteAuditor::replied(const SubmissionId &id, const JobDigest *body, const Reply &reply)
{
    if (reply.id != id)
        fail(id, "the reply of another submission was received");
    if (reply.answer.has_value() != (reply.kind == ReplyKind::Final))
        fail(id, "a reply has an answer and is not final, or the other way round");
    if (!reply.answer)
        return;
    const Answer &answer = *reply.answer;
    // No record is left, so nothing is known about the earlier answer.
    if (answer.outcome == Outcome::Unknown && answer.reason == Reason::ExpiredId)
        return;
    Track &track = m_tracks[id];
    if (answer.outcome == Outcome::Completed)
        checkCompleted(id, track, body, answer);
    else if (!answer.outputs.empty())
        fail(id, "an answer that is not complete has outputs");
    if (answer.outcome == Outcome::NotRun && !track.startsByTask.empty())
        fail(id, "\"not run\" was answered although a task was started");
    if (track.answer && *track.answer != answer)
        fail(id, "the final answer has changed");
    if (!track.answer)
        ++m_answers[answer.outcome];
    track.answer = answer;
}

std::uint64_t SiteAuditor::answers(Outcome outcome) const
{
    const auto position = m_answers.find(outcome);
    return position == m_answers.end() ? 0 : position->second;
}

const Answer *SiteAuditor::answerOf(const SubmissionId &id) const
{
    const auto position = m_tracks.find(id);
    if (position == m_tracks.end() || !position->second.answer)
        return nullptr;
    return &*position->second.answer;
}

std::uint32_t SiteAuditor::startsOf(const SubmissionId &id) const
{
    const auto position = m_tracks.find(id);
    if (position == m_tracks.end())
        return 0;
    std::uint32_t sum = 0;
    for (const auto &[index, count] : position->second.startsByTask)
        sum += count;
    return sum;
}

} // namespace Bluebellquay
