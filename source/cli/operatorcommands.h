// Implements the operators' commands: drain, and those for the rules document.
#pragma once

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

private:
    FailoverCaller &m_caller;
    Report &m_report;
};

} // namespace Bluebellquay
