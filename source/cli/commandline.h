// The program bluebellquay: runs one command and returns its exit code.
#pragma once

#include "bluebellquay/v1/dispatcher.pb.h"
#include "cli/commandoptions.h"
#include "cli/exitcode.h"
#include "cli/failovercaller.h"
#include "cli/report.h"

#include <boost/leaf.hpp>

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace Bluebellquay {

class CommandLine
{
public:
    CommandLine(std::istream &input, std::ostream &output, std::ostream &errors)
        : m_input(input)
        , m_output(output)
        , m_errors(errors)
    { }

    // Runs the command that the arguments (without the program name) ask for.
    ExitCode run(const std::vector<std::string> &arguments);

private:
    using Outcome = boost::leaf::result<ExitCode>;

    Outcome execute(const std::vector<std::string> &arguments);
    Outcome reserve(const CommandOptions &options, FailoverCaller &caller, Report &report);
    Outcome submit(const CommandOptions &options, FailoverCaller &caller, Report &report,
                   const bluebellquay::v1::Job &job);
    Outcome await(const CommandOptions &options, FailoverCaller &caller, Report &report);
    Outcome cancel(const CommandOptions &options, FailoverCaller &caller, Report &report);
    Outcome status(const CommandOptions &options, FailoverCaller &caller, Report &report);

    std::istream &m_input;
    std::ostream &m_output;
    std::ostream &m_errors;
};

} // namespace Bluebellquay
