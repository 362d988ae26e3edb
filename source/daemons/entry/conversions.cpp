#include "daemons/entry/conversions.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace Bluebellquay {

namespace {

bluebellquay::v1::Outcome toProto(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return bluebellquay::v1::OUTCOME_COMPLETED;
    case Outcome::Failed:
        return bluebellquay::v1::OUTCOME_FAILED;
    case Outcome::NotRun:
        return bluebellquay::v1::OUTCOME_NOT_RUN;
    case Outcome::Unknown:
        return bluebellquay::v1::OUTCOME_UNKNOWN;
    }
    return bluebellquay::v1::OUTCOME_UNKNOWN;
}

// Returns milliseconds, at least one, because zero tells the caller that a retry is of no use.
std::uint32_t toRetryMs(Duration retryAfter)
{
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(milliseconds, 1, std::numeric_limits<std::uint32_t>::max()));
}

// Replaces invalid UTF-8. Upstreams choose their error texts, and a protobuf string with invalid
// UTF-8 can't be sent.
std::string validUtf8(const std::string &text)
{
    using Json = nlohmann::json;
    return Json::parse(Json(text).dump(-1, ' ', false, Json::error_handler_t::replace))
        .get<std::string>();
}

void setAnswer(Answer answer, bluebellquay::v1::SubmissionResponse &response)
{
    response.set_outcome(toProto(answer.outcome));
    if (answer.reason != Reason::None)
        response.set_reason(std::string(toString(answer.reason)));
    response.set_detail(validUtf8(answer.detail));
    if (answer.retryAfter)
        response.set_retry_after_ms(toRetryMs(*answer.retryAfter));
    response.mutable_outputs()->Reserve(static_cast<int>(answer.outputs.size()));
    for (std::string &output : answer.outputs)
        response.add_outputs(std::move(output));
}

} // namespace

ConnectError toConnectError(const CallError &error)
{
    switch (error.kind) {
    case CallErrorKind::InvalidArgument:
        return {ConnectCode::InvalidArgument, error.message};
    case CallErrorKind::AlreadyExists:
        return {ConnectCode::AlreadyExists, error.message};
    case CallErrorKind::NotFound:
        return {ConnectCode::NotFound, error.message};
    case CallErrorKind::Unavailable:
        return {ConnectCode::Unavailable, error.message};
    case CallErrorKind::ResourceExhausted:
        return {ConnectCode::ResourceExhausted, error.message};
    case CallErrorKind::DeadlineExceeded:
        return {ConnectCode::DeadlineExceeded, error.message};
    case CallErrorKind::Aborted:
        return {ConnectCode::Aborted, error.message};
    case CallErrorKind::FailedPrecondition:
        return {ConnectCode::FailedPrecondition, error.message};
    }
    return {ConnectCode::Internal, error.message};
}

ConnectResult<bluebellquay::v1::SubmissionResponse> toResponse(CallResult result)
{
    if (const auto *error = std::get_if<CallError>(&result))
        return toConnectError(*error);
    auto *state = std::get_if<SubmissionState>(&result);
    if (state == nullptr)
        return ConnectError{ConnectCode::Internal, "no state of a submission"};
    bluebellquay::v1::SubmissionResponse response;
    response.set_id(state->id.toString());
    if (state->answer)
        setAnswer(std::move(*state->answer), response);
    else
        response.set_outcome(bluebellquay::v1::OUTCOME_RUNNING);
    if (state->progress.tasks > 0) {
        response.mutable_progress()->set_tasks(state->progress.tasks);
        response.mutable_progress()->set_started(state->progress.started);
        response.mutable_progress()->set_finished(state->progress.finished);
    }
    return response;
}

void setFinding(const Finding &finding, bluebellquay::v1::Finding &target)
{
    target.set_line(finding.line);
    target.set_place(finding.place);
    target.set_message(finding.message);
    target.set_remedy(finding.remedy);
}

} // namespace Bluebellquay
