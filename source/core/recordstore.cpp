#include "core/recordstore.h"

#include <numeric>

namespace Bluebellquay {

namespace {

std::size_t bytesOf(const Answer &answer)
{
    return std::accumulate(
        answer.outputs.begin(), answer.outputs.end(), answer.detail.size(),
        [](std::size_t sum, const std::string &output) { return sum + output.size(); });
}

} // namespace

const SubmissionRecord *RecordStore::find(const SubmissionId &id) const
{
    const auto position = m_records.find(id);
    return position == m_records.end() ? nullptr : &position->second;
}

ActiveSubmission *RecordStore::findActive(const SubmissionId &id)
{
    const auto position = m_active.find(id);
    return position == m_active.end() ? nullptr : position->second.get();
}

ActiveSubmission &RecordStore::open(const SubmissionId &id, const JobDigest &digest,
                                    std::unique_ptr<ActiveSubmission> submission)
{
    m_records[id].digest = digest;
    return *(m_active[id] = std::move(submission));
}

const Answer &RecordStore::close(const SubmissionId &id, Answer answer, IssuePeriod keepUntil,
                                 std::unique_ptr<ActiveSubmission> *finished)
{
    SubmissionRecord &record = m_records[id];
    if (record.answer)
        return *record.answer;
    m_answerBytes += bytesOf(answer);
    record.answer = std::make_unique<const Answer>(std::move(answer));
    m_expiry[keepUntil].push_back(id);
    const auto position = m_active.find(id);
    if (position != m_active.end()) {
        if (finished != nullptr)
            *finished = std::move(position->second);
        m_active.erase(position);
    }
    return *record.answer;
}

void RecordStore::setDigest(const SubmissionId &id, const JobDigest &digest)
{
    const auto position = m_records.find(id);
    if (position != m_records.end() && !position->second.digest)
        position->second.digest = digest;
}

void RecordStore::expire(IssuePeriod current)
{
    while (!m_expiry.empty() && m_expiry.begin()->first < current) {
        for (const SubmissionId &id : m_expiry.begin()->second) {
            const auto position = m_records.find(id);
            m_answerBytes -= bytesOf(*position->second.answer);
            m_records.erase(position);
        }
        m_expiry.erase(m_expiry.begin());
    }
}

std::vector<RecordSnapshot> RecordStore::snapshots() const
{
    std::vector<RecordSnapshot> all;
    all.reserve(m_records.size());
    for (const auto &[id, record] : m_records) {
        if (record.answer)
            all.push_back(RecordSnapshot{id, record.digest, *record.answer});
    }
    return all;
}

} // namespace Bluebellquay
