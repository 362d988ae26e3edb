#include "process/chaosjudge.h"

#include <algorithm>
#include <map>
#include <set>

namespace Bluebellquay::Testing {

namespace {

using bluebellquay::v1::SubmissionResponse;

struct Starts
{
    // Starts by task index.
    std::map<std::string, unsigned> byTask;
    std::set<unsigned> upstreams;
};

std::map<std::string, Starts> startsBySubmission(const Site &site)
{
    std::map<std::string, Starts> all;
    for (unsigned i = 0; i < site.layout().agents; ++i) {
        for (const auto &[task, count] : site.startCounts(i)) {
            const std::size_t slash = task.find('/');
            Starts &starts = all[task.substr(0, slash)];
            starts.byTask[task.substr(slash + 1)] += count;
            starts.upstreams.insert(i);
        }
    }
    return all;
}

bool isLostTaskReason(const std::string &reason)
{
    return reason == "task_lost" || reason == "outcome_lost";
}

// Whether a lost process may have held a part of this submission.
bool touched(const ChaosSubmission &submission, const Starts &starts,
             const std::vector<LostProcess> &lost)
{
    const std::string home = submission.id.substr(0, submission.id.find('-'));
    return std::any_of(lost.begin(), lost.end(), [&](const LostProcess &process) {
        if (!process.incarnation.empty() && process.incarnation == home)
            return true;
        // An agent that ended before the submission can't have pulled a task of it.
        if (process.at < submission.submitted || process.at > submission.answered)
            return false;
        // Tasks that were bound but not started leave no start; their loss is told as the reason.
        return starts.upstreams.count(process.number) > 0
            || isLostTaskReason(submission.answer.reason());
    });
}

class Judge
{
public:
    explicit Judge(ChaosVerdict &verdict)
        : m_verdict(verdict)
    { }

    void checkStarts(const ChaosSubmission &submission, const Starts &starts)
    {
        for (const auto &[index, count] : starts.byTask) {
            if (count <= submission.maxStarts)
                continue;
            ++m_verdict.doubleStarts;
            report("double start of task " + index, submission);
        }
    }

    void checkAnswer(const ChaosSubmission &submission, const Starts &starts)
    {
        const SubmissionResponse &answer = submission.answer;
        if (answer.outcome() == bluebellquay::v1::OUTCOME_NOT_RUN && !starts.byTask.empty()) {
            ++m_verdict.falseNotRun;
            report("not run, but started", submission);
        }
        if (!submission.contradiction.empty()) {
            ++m_verdict.changedAnswers;
            report("answer changed to " + submission.contradiction, submission);
        }
        if (answer.outcome() != bluebellquay::v1::OUTCOME_COMPLETED)
            return;
        if (static_cast<std::size_t>(answer.outputs_size()) != submission.tasks) {
            ++m_verdict.partialAnswers;
            report("partial answer", submission);
        } else if (!isWholeAnswer(answer, submission.tasks, submission.label)) {
            ++m_verdict.crossedAnswers;
            report("answer of another submission", submission);
        }
    }

    void checkCompletion(const ChaosSubmission &submission, const Starts &starts,
                         const std::vector<LostProcess> &lost)
    {
        const bool completed = submission.answer.outcome() == bluebellquay::v1::OUTCOME_COMPLETED;
        m_verdict.completed += completed ? 1 : 0;
        if (touched(submission, starts, lost))
            return;
        ++m_verdict.untouched;
        m_verdict.untouchedCompleted += completed ? 1 : 0;
        if (!completed)
            report("untouched but not completed", submission);
    }

private:
    void report(const std::string &what, const ChaosSubmission &submission)
    {
        m_verdict.findings.push_back(what + ": " + submission.id
                                     + " tasks=" + std::to_string(submission.tasks) + " outcome="
                                     + bluebellquay::v1::Outcome_Name(submission.answer.outcome())
                                     + " reason=" + submission.answer.reason()
                                     + " t=" + std::to_string(chaosSeconds(submission.submitted))
                                     + ".." + std::to_string(chaosSeconds(submission.answered)));
    }

    ChaosVerdict &m_verdict;
};

} // namespace

ChaosVerdict judge(const Site &site, const std::vector<ChaosSubmission> &submissions,
                   const std::vector<LostProcess> &lost)
{
    ChaosVerdict verdict;
    Judge judge(verdict);
    const auto starts = startsBySubmission(site);
    static const Starts NoStarts;
    for (const ChaosSubmission &submission : submissions) {
        const auto position = starts.find(submission.id);
        const Starts &own = position == starts.end() ? NoStarts : position->second;
        ++verdict.submissions;
        judge.checkStarts(submission, own);
        judge.checkAnswer(submission, own);
        judge.checkCompletion(submission, own, lost);
    }
    return verdict;
}

} // namespace Bluebellquay::Testing
