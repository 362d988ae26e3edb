#include "process/chaosworkload.h"

#include <utility>

namespace Bluebellquay::Testing {

namespace {

using bluebellquay::v1::Job;
using bluebellquay::v1::SubmissionResponse;
using bluebellquay::v1::SubmitRequest;
using std::chrono::milliseconds;

constexpr std::chrono::seconds AnswerLimit(40);
constexpr unsigned IdempotentStarts = 2; // max_attempts of tally_weighing in examples/rules.toml
constexpr std::size_t MaxJobTasks = 30;

std::size_t below(std::mt19937_64 &random, std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
}

} // namespace

ChaosWorkload::ChaosWorkload(std::vector<std::string> entries, std::uint64_t seed, unsigned callers)
    : m_entries(std::move(entries))
{
    for (unsigned i = 0; i < callers; ++i)
        m_threads.emplace_back([this, seed, i] { runCaller(seed + i, i); });
}

ChaosWorkload::~ChaosWorkload()
{
    finish();
}

void ChaosWorkload::finish()
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void ChaosWorkload::runCaller(std::uint64_t seed, unsigned number)
{
    std::mt19937_64 random(seed);
    Caller caller(m_entries);
    for (unsigned i = 0; !m_stopping; ++i) {
        ChaosSubmission submission =
            submitOne(caller, random, "c" + std::to_string(number) + "-" + std::to_string(i));
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_submissions.push_back(std::move(submission));
    }
}

ChaosSubmission ChaosWorkload::submitOne(Caller &caller, std::mt19937_64 &random,
                                         const std::string &label)
{
    ChaosSubmission submission;
    submission.label = label;
    const bool isJob = below(random, 10) < 3;
    submission.tasks = isJob ? 2 + below(random, MaxJobTasks - 1) : 1;
    const bool idempotent = below(random, 2) == 0;
    if (!isJob && idempotent)
        submission.maxStarts = IdempotentStarts;
    const Job job = makeJob("maras", idempotent ? "tally_weighing" : "confirm_buyer",
                            submission.tasks, milliseconds(5 + below(random, 80)), label);

    submission.id = caller.reserveId();
    submission.submitted = ChaosClock::now();
    if (below(random, 10) < 3)
        giveUpEarly(caller, random, submission.id, job);
    submission.answer = caller.submitUntilFinal(submission.id, job, AnswerLimit);
    submission.answered = ChaosClock::now();
    if (below(random, 10) < 2)
        askAgain(caller, submission, job);
    return submission;
}

// The caller's own timeout ends the call; the submission goes on, and is repeated later.
void ChaosWorkload::giveUpEarly(Caller &caller, std::mt19937_64 &random, const std::string &id,
                                const Job &job)
{
    SubmitRequest request;
    request.set_id(id);
    request.set_attempt(1);
    *request.mutable_job() = job;
    caller.call<SubmissionResponse>(below(random, m_entries.size()), "Submit", request,
                                    milliseconds(1 + below(random, 40)));
}

// The same submission after its answer: the answer must be the same, or unknown if the home is
// gone.
void ChaosWorkload::askAgain(Caller &caller, ChaosSubmission &submission, const Job &job)
{
    const SubmissionResponse again =
        caller.submitUntilFinal(submission.id, job, std::chrono::seconds(5));
    if (!isFinal(submission.answer) || !isFinal(again)
        || again.outcome() == bluebellquay::v1::OUTCOME_UNKNOWN)
        return;
    if (again.SerializeAsString() != submission.answer.SerializeAsString())
        submission.contradiction = again.ShortDebugString();
}

} // namespace Bluebellquay::Testing
