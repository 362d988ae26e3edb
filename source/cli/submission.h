// Brings one submission to its answer: submits, awaits, asks again, always with the same id.
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

    // Submits under the request's id until the outcome is final, detached or unknown for good.
    // "Unknown" with a retry-after time is asked again after that time.
    Result submit(bluebellquay::v1::SubmitRequest request);
    Result await(const std::string &id);

private:
    template <typename Request>
    Result repeat(const char *method, Request &request, bool untilFinal);
    // Pauses and returns true if the same call is to be made again.
    bool askAgain(const bluebellquay::v1::SubmissionResponse &response, bool untilFinal);
    // What is known when a call got no answer.
    Result lastKnown(CallFailure failure) const;
    // Prints the progress on standard error while the answer is waited for.
    void watch(const std::string &id);

    FailoverCaller &m_caller;
    Report &m_report;
    std::string m_lastProgress;
    // The last answer of the system about this submission; unspecified if there was none.
    bluebellquay::v1::SubmissionResponse m_last;
};

} // namespace Bluebellquay
