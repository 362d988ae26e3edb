// Prints answers and failures in the form that the command line asks for.
#pragma once

#include "bluebellquay/v1/dispatcher.pb.h"
#include "cli/commandoptions.h"
#include "cli/exitcode.h"
#include "cli/failovercaller.h"
#include "config/finding.h"

#include <google/protobuf/message.h>

#include <ostream>
#include <string>

namespace Bluebellquay {

class Report
{
public:
    Report(OutputForm form, std::ostream &output, std::ostream &errors)
        : m_form(form)
        , m_output(output)
        , m_errors(errors)
    { }

    void ids(const bluebellquay::v1::ReserveIdsResponse &response);
    // Prints the state of a submission and returns the exit code of its outcome.
    ExitCode submission(const bluebellquay::v1::SubmissionResponse &response);
    void drain(const bluebellquay::v1::DrainResponse &response);
    void configCheck(const bluebellquay::v1::CheckConfigResponse &response,
                     const std::string &file);
    void configApply(const bluebellquay::v1::ApplyConfigResponse &response,
                     const std::string &file);
    void configShow(const bluebellquay::v1::ShowConfigResponse &response);

    // Prints the failure and returns its exit code.
    ExitCode failure(const CallFailure &failure);
    void findings(const Findings &list);
    void usage(const UsageError &error);
    // Prints a line on standard error.
    void note(const std::string &text);

private:
    // Prints the message if the output form is JSON, and returns whether it did.
    bool json(const google::protobuf::Message &message);
    void findings(const google::protobuf::RepeatedPtrField<bluebellquay::v1::Finding> &list,
                  const std::string &file);

    OutputForm m_form;
    std::ostream &m_output;
    std::ostream &m_errors;
};

ExitCode exitCodeOf(bluebellquay::v1::Outcome outcome);

} // namespace Bluebellquay
