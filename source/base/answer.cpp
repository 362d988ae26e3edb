#include "base/answer.h"

namespace Bluebellquay {

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "completed";
    case Outcome::Failed:
        return "failed";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "invalid";
}

std::string_view toString(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::QueueFull:
        return "queue_full";
    case Reason::DeadlineTooShort:
        return "deadline_too_short";
    case Reason::QuotaExceeded:
        return "quota_exceeded";
    case Reason::Overload:
        return "overload";
    case Reason::Stopping:
        return "stopping";
    case Reason::UnknownKind:
        return "unknown_kind";
    case Reason::InvalidJob:
        return "invalid_job";
    case Reason::NoWorker:
        return "no_worker";
    case Reason::CancelledBeforeStart:
        return "cancelled_before_start";
    case Reason::DeadlineBeforeStart:
        return "deadline_before_start";
    case Reason::CannotFit:
        return "cannot_fit";
    case Reason::TaskFailed:
        return "task_failed";
    case Reason::TaskLost:
        return "task_lost";
    case Reason::Cancelled:
        return "cancelled";
    case Reason::DeadlineExceeded:
        return "deadline_exceeded";
    case Reason::FailsEverywhere:
        return "fails_everywhere";
    case Reason::HomeSilent:
        return "home_silent";
    case Reason::HomeGone:
        return "home_gone";
    case Reason::ExpiredId:
        return "expired_id";
    case Reason::OutcomeLost:
        return "outcome_lost";
    }
    return "invalid";
}

} // namespace Bluebellquay
