// Implements the operators' commands: drain, and those for the rules document.
#pragma once

#include "bluebellquay/v1/dispatcher.pb.h"
#include "cli/commandoptions.h"
#include "cli/exitcode.h"
#include "cli/failovercaller.h"
#include "cli/report.h"

#include <string>

namespace Bluebellquay {

class OperatorCommands
{
public:
    OperatorCommands(FailoverCaller &caller, Report &report)
        : m_caller(caller)
        , m_report(report)
    { }

    ExitCode drain(const std::string &agent);
    // The file name is only used in findings.
    ExitCode check(const std::string &document, const std::string &file);
    // Chooses the change id once and sends it with each retry, so that a change whose answer was
    // lost is recognised and not reported as a conflict with itself.
    ExitCode apply(const std::string &document, const std::string &file,
                   std::uint64_t expectedVersion);
    ExitCode show();
    // Applies the rules document in force once more, with the data centre in its list of evacuated
    // ones or without it. An operator who changes the document meanwhile makes it a conflict.
    ExitCode setEvacuated(const std::string &dataCentre, bool evacuated);

private:
    using Shown = CallResult<bluebellquay::v1::ShowConfigResponse>;

    Shown readConfig();

    FailoverCaller &m_caller;
    Report &m_report;
};

} // namespace Bluebellquay
