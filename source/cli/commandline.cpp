#include "cli/commandline.h"

#include "cli/commandparser.h"
#include "cli/jobfile.h"
#include "cli/operatorcommands.h"
#include "cli/submission.h"

#include <chrono>

namespace Bluebellquay {

namespace api = bluebellquay::v1;

namespace {

using namespace std::chrono_literals;

constexpr Duration AttemptLimit = 5s;
constexpr const char *ReserveMethod = "bluebellquay.v1.Dispatcher/ReserveIds";

using CallerResult = boost::leaf::result<std::unique_ptr<FailoverCaller>>;

CallerResult makeCaller(const std::vector<std::string> &addresses, const CommandOptions &options,
                        const std::string &secret = {})
{
    return FailoverCaller::create(addresses, secret,
                                  FailoverCaller::Clock::now() + options.timeout);
}

CallResult<api::ReserveIdsResponse> reserveIds(FailoverCaller &caller, std::uint32_t count)
{
    api::ReserveIdsRequest request;
    request.set_count(count);
    return caller.call<api::ReserveIdsResponse>(ReserveMethod, request, AttemptLimit);
}

// Reports a submission that has no final answer, and how to ask for it if its outcome is unknown.
ExitCode reportUnanswered(const CallFailure &failure, const std::string &id, Report &report)
{
    const ExitCode code = report.failure(failure);
    if (code == ExitCode::Unknown)
        report.note("the outcome is unknown; ask again with: bluebellquay await " + id);
    return code;
}

ExitCode reportResult(const Submission::Result &result, const std::string &id, Report &report)
{
    if (const auto *failure = std::get_if<CallFailure>(&result))
        return reportUnanswered(*failure, id, report);
    return report.submission(std::get<api::SubmissionResponse>(result));
}

boost::leaf::result<ExitCode> runOperator(const CommandOptions &options, std::istream &input,
                                          Report &report)
{
    std::string document;
    if (options.command == "config check" || options.command == "config apply") {
        BOOST_LEAF_ASSIGN(document, readInput(options.operand, input));
    }
    BOOST_LEAF_AUTO(secret, readSecret(options.secretFile));
    BOOST_LEAF_AUTO(caller, makeCaller(options.operators, options, secret));
    OperatorCommands commands(*caller, report);
    if (options.command == "drain")
        return commands.drain(options.operand);
    if (options.command == "evacuate" || options.command == "take-back")
        return commands.setEvacuated(options.operand, options.command == "evacuate");
    if (options.command == "config check")
        return commands.check(document, options.operand);
    if (options.command == "config apply")
        return commands.apply(document, options.operand, *options.expectedVersion);
    return commands.show();
}

} // namespace

ExitCode CommandLine::run(const std::vector<std::string> &arguments)
{
    Report report(OutputForm::Table, m_output, m_errors);
    return boost::leaf::try_handle_all(
        [&] { return execute(arguments); },
        [&](const UsageError &error) {
            report.usage(error);
            return ExitCode::Usage;
        },
        [&](const AddressError &error) {
            report.usage({"\"" + error.address + "\" is not an address",
                          "give an IP number and a port, for example 127.0.0.1:7000"});
            return ExitCode::Usage;
        },
        [&](const Findings &findings) {
            report.findings(findings);
            return ExitCode::Usage;
        },
        [&] {
            report.note("internal error");
            return ExitCode::Unknown;
        });
}

CommandLine::Outcome CommandLine::execute(const std::vector<std::string> &arguments)
{
    BOOST_LEAF_AUTO(options, parseCommand(arguments));
    if (options.help) {
        m_output << commandHelp(options.command);
        return ExitCode::Completed;
    }
    Report report(options.output, m_output, m_errors);
    if (options.entries.empty())
        return runOperator(options, m_input, report);
    api::Job job;
    if (options.command == "submit") {
        BOOST_LEAF_AUTO(text, readInput(options.operand, m_input));
        BOOST_LEAF_ASSIGN(job, parseJob(text, options.operand));
    }
    BOOST_LEAF_AUTO(caller, makeCaller(options.entries, options));
    if (options.command == "reserve")
        return reserve(options, *caller, report);
    if (options.command == "submit")
        return submit(options, *caller, report, job);
    if (options.command == "await")
        return await(options, *caller, report);
    if (options.command == "cancel")
        return cancel(options, *caller, report);
    return status(options, *caller, report);
}

CommandLine::Outcome CommandLine::reserve(const CommandOptions &options, FailoverCaller &caller,
                                          Report &report)
{
    const auto result = reserveIds(caller, options.count);
    if (const auto *failure = std::get_if<CallFailure>(&result))
        return report.failure(*failure);
    report.ids(std::get<api::ReserveIdsResponse>(result));
    return ExitCode::Completed;
}

CommandLine::Outcome CommandLine::submit(const CommandOptions &options, FailoverCaller &caller,
                                         Report &report, const api::Job &job)
{
    std::string id = options.id;
    if (id.empty()) {
        const auto reserved = reserveIds(caller, 1);
        if (const auto *failure = std::get_if<CallFailure>(&reserved)) {
            report.failure(*failure);
            // Nothing was submitted, because the reservation of an id failed.
            return failure->final ? ExitCode::Failed : ExitCode::Unreachable;
        }
        const auto &ids = std::get<api::ReserveIdsResponse>(reserved).ids();
        if (ids.empty()) {
            report.note("the entry issued no id; no upstream serves at present");
            return ExitCode::NotRun;
        }
        id = ids[0];
        report.note("submitting as " + id);
    }
    api::SubmitRequest request;
    request.set_id(id);
    *request.mutable_job() = job;
    request.set_deadline_ms(options.deadlineMs);
    request.set_detach(options.detach);
    const auto result = Submission(caller, report).submit(request);
    const ExitCode code = reportResult(result, id, report);
    return options.detach && code == ExitCode::Running ? ExitCode::Completed : code;
}

CommandLine::Outcome CommandLine::await(const CommandOptions &options, FailoverCaller &caller,
                                        Report &report)
{
    const auto result = Submission(caller, report).await(options.operand);
    return reportResult(result, options.operand, report);
}

CommandLine::Outcome CommandLine::cancel(const CommandOptions &options, FailoverCaller &caller,
                                         Report &report)
{
    api::CancelRequest request;
    request.set_id(options.operand);
    const auto result = caller.call<api::SubmissionResponse>("bluebellquay.v1.Dispatcher/Cancel",
                                                             request, AttemptLimit);
    return reportResult(result, options.operand, report);
}

CommandLine::Outcome CommandLine::status(const CommandOptions &options, FailoverCaller &caller,
                                         Report &report)
{
    api::StatusRequest request;
    request.set_id(options.operand);
    const auto result = caller.call<api::SubmissionResponse>("bluebellquay.v1.Dispatcher/Status",
                                                             request, AttemptLimit);
    return reportResult(result, options.operand, report);
}

} // namespace Bluebellquay
