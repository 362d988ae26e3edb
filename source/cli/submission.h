// Obtains the answer of one submission: submits it, awaits it and retries, always with the same id.
#pragma once

#include "bluebellquay/v1/dispatcher.pb.h"
#include "cli/failovercaller.h"
#include "cli/report.h"

#include <cstdint>
#include <string>

namespace Bluebellquay {

class Submission
{
public:
    using Result = CallResult<bluebellquay::v1::SubmissionResponse>;

    Submission(FailoverCaller &caller, Report &report)
        : m_caller(caller)
        , m_report(report)
    { }

    // Submits with the request's id until the outcome is final, detached or unknown for good.
    // Retries after the retry-after time if the outcome is "unknown" and has one.
    Result submit(bluebellquay::v1::SubmitRequest request);
    Result await(const std::string &id);

private:
    template <typename Request>
    Result repeat(const char *method, Request &request, bool untilFinal);
    // Returns false if the response ends the call; otherwise sleeps until the retry and returns
    // true.
    bool waitForRetry(const bluebellquay::v1::SubmissionResponse &response, bool untilFinal);
    // Returns what is known about the submission when a call got no answer.
    Result lastKnownResult(CallFailure failure) const;
    // Makes the calls print the progress on standard error while they wait.
    void enableProgressReports(const std::string &id);

    FailoverCaller &m_caller;
    Report &m_report;
    std::string m_lastProgress;
    // The last answer about this submission; its outcome is unspecified if there was none.
    bluebellquay::v1::SubmissionResponse m_last;
};

} // namespace Bluebellquay
