// Checks the guarantees of docs/design.md against what upstreams started and callers were told.
#pragma once

#include "base/messages.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Bluebellquay {

class SiteAuditor
{
public:
    // A body that callers use with an id; its tasks have payloads that no other task has.
    void expectBody(const SubmissionId &id, const Job &job, std::uint32_t allowedStarts);
    // An upstream started a task.
    void started(const SubmissionId &id, TaskIndex index, const std::string &payload);
    // A caller that sent this body (null for calls without one) received a reply for this id.
    void replied(const SubmissionId &id, const JobDigest *body, const Reply &reply);
    // Any other violation.
    void fail(const SubmissionId &id, const std::string &what);

    static std::string outputOf(const std::string &payload) { return "done " + payload; }

    const std::vector<std::string> &violations() const { return m_violations; }
    std::uint64_t starts() const { return m_starts; }
    std::uint64_t answers(Outcome outcome) const;
    // The first final answer that was seen; null if there was none.
    const Answer *answerOf(const SubmissionId &id) const;
    std::uint32_t startsOf(const SubmissionId &id) const;

private:
    struct Body
    {
        JobDigest digest;
        std::vector<std::string> payloads;
    };
    struct Track
    {
        std::vector<Body> bodies;
        std::uint32_t allowedStarts = 1;
        std::map<std::uint32_t, std::uint32_t> startsByTask;
        std::optional<Answer> answer;
    };

    void checkCompleted(const SubmissionId &id, const Track &track, const JobDigest *body,
                        const Answer &answer);

    std::unordered_map<SubmissionId, Track> m_tracks;
    std::vector<std::string> m_violations;
    std::map<Outcome, std::uint64_t> m_answers;
    std::uint64_t m_starts = 0;
};

} // namespace Bluebellquay
