#include "cli/submission.h"

#include <chrono>
#include <utility>

namespace Bluebellquay {

namespace api = bluebellquay::v1;

namespace {

using namespace std::chrono_literals;

constexpr const char *SubmitMethod = "bluebellquay.v1.Dispatcher/Submit";
constexpr const char *AwaitMethod = "bluebellquay.v1.Dispatcher/Await";
constexpr const char *StatusMethod = "bluebellquay.v1.Dispatcher/Status";

// Time limit of one attempt. It is shorter than that of the command, because a connection may have
// gone silent.
constexpr Duration AttemptLimit = 10s;
// Pause between two calls if the system answers "running" without waiting.
constexpr Duration RunningPause = 200ms;
constexpr Duration ProgressInterval = 500ms;
constexpr Duration ProgressLimit = 1s;

void countAttempt(api::SubmitRequest &request)
{
    request.set_attempt(request.attempt() + 1);
}

void countAttempt(const api::AwaitRequest & /*request*/) { }

} // namespace

Submission::Result Submission::submit(api::SubmitRequest request)
{
    const bool detach = request.detach();
    if (!detach)
        enableProgressReports(request.id());
    Result result = repeat(SubmitMethod, request, false);
    const auto *response = std::get_if<api::SubmissionResponse>(&result);
    if (detach || response == nullptr || response->outcome() != api::OUTCOME_RUNNING)
        return result;
    return await(request.id());
}

Submission::Result Submission::await(const std::string &id)
{
    enableProgressReports(id);
    api::AwaitRequest request;
    request.set_id(id);
    return repeat(AwaitMethod, request, true);
}

template <typename Request>
Submission::Result Submission::repeat(const char *method, Request &request, bool untilFinal)
{
    for (;;) {
        countAttempt(request);
        auto result = m_caller.call<api::SubmissionResponse>(method, request, AttemptLimit);
        if (auto *failure = std::get_if<CallFailure>(&result))
            return lastKnownResult(std::move(*failure));
        m_last = std::get<api::SubmissionResponse>(result);
        if (!waitForRetry(m_last, untilFinal))
            return result;
    }
}

bool Submission::waitForRetry(const api::SubmissionResponse &response, bool untilFinal)
{
    const bool running = response.outcome() == api::OUTCOME_RUNNING && untilFinal;
    const bool unknown =
        response.outcome() == api::OUTCOME_UNKNOWN && response.retry_after_ms() > 0;
    if (!running && !unknown)
        return false;
    const Duration delay =
        unknown ? Duration(std::chrono::milliseconds(response.retry_after_ms())) : RunningPause;
    if (delay >= m_caller.remaining())
        return false;
    if (unknown)
        m_report.note("outcome of " + response.id() + " unknown (" + response.reason()
                      + "), asking again in " + std::to_string(response.retry_after_ms()) + " ms");
    m_caller.pause(delay);
    return true;
}

Submission::Result Submission::lastKnownResult(CallFailure failure) const
{
    if (failure.final || m_last.outcome() == api::OUTCOME_UNSPECIFIED)
        return failure;
    if (m_last.outcome() == api::OUTCOME_RUNNING)
        return m_last;
    failure.maybeReceived = true;
    return failure;
}

void Submission::enableProgressReports(const std::string &id)
{
    m_caller.setTick(ProgressInterval, [this, id] {
        api::StatusRequest request;
        request.set_id(id);
        const auto result =
            m_caller.callOnce<api::SubmissionResponse>(StatusMethod, request, ProgressLimit);
        const auto *response = std::get_if<api::SubmissionResponse>(&result);
        if (response == nullptr || response->outcome() != api::OUTCOME_RUNNING
            || !response->has_progress())
            return;
        m_last = *response;
        const api::Progress &progress = response->progress();
        std::string line = id + ": " + std::to_string(progress.finished()) + " of "
            + std::to_string(progress.tasks()) + " tasks finished, "
            + std::to_string(progress.started()) + " started";
        if (line == m_lastProgress)
            return;
        m_report.note(line);
        m_lastProgress = std::move(line);
    });
}

} // namespace Bluebellquay
