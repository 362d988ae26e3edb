// All records of a home: submissions in progress and stored final answers. Bounded in number, and
// emptied by issue period, so that no record goes while its id is still acceptable.
#pragma once

#include "core/activesubmission.h"
#include "core/issuewindow.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Bluebellquay {

struct SubmissionRecord
{
    // Absent if the record was made before any body was seen.
    std::optional<JobDigest> digest;
    // Null while the submission is in progress; set once and never changed (invariant H3).
    std::unique_ptr<const Answer> answer;
};

class RecordStore
{
public:
    explicit RecordStore(std::uint32_t maxRecords)
        : m_maxRecords(maxRecords)
    { }

    const SubmissionRecord *find(const SubmissionId &id) const;
    // Null if the submission has a final answer or no record.
    ActiveSubmission *findActive(const SubmissionId &id);
    const std::unordered_map<SubmissionId, std::unique_ptr<ActiveSubmission>> &active() const
    {
        return m_active;
    }

    bool full() const { return m_records.size() >= m_maxRecords; }
    std::size_t size() const { return m_records.size(); }
    // Bytes of the outputs and details of all stored answers.
    std::size_t answerBytes() const { return m_answerBytes; }

    // There must be no record for the id.
    ActiveSubmission &open(const SubmissionId &id, const JobDigest &digest,
                           std::unique_ptr<ActiveSubmission> submission);
    // Stores the first final answer and returns it; the submission in progress, if any, is given
    // back. A record that has an answer already keeps it.
    const Answer &close(const SubmissionId &id, Answer answer, IssuePeriod keepUntil,
                        std::unique_ptr<ActiveSubmission> *finished = nullptr);
    // Remembers the body of a record that was made without one.
    void setDigest(const SubmissionId &id, const JobDigest &digest);
    // Removes the records that are kept until a period before the current one.
    void expire(IssuePeriod current);
    // Copies of all final answers, for a successor.
    std::vector<RecordSnapshot> snapshots() const;

private:
    std::uint32_t m_maxRecords;
    std::unordered_map<SubmissionId, SubmissionRecord> m_records;
    // Has exactly the ids whose record has no answer.
    std::unordered_map<SubmissionId, std::unique_ptr<ActiveSubmission>> m_active;
    // Each record with an answer is in exactly one list.
    std::map<IssuePeriod, std::vector<SubmissionId>> m_expiry;
    std::size_t m_answerBytes = 0;
};

} // namespace Bluebellquay
