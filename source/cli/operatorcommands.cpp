#include "cli/operatorcommands.h"

#include "cli/evacuationedit.h"
#include "config/valuetypes.h"

#include <chrono>
#include <random>
#include <string_view>

namespace Bluebellquay {

namespace api = bluebellquay::v1;

namespace {

using namespace std::chrono_literals;

constexpr Duration AttemptLimit = 5s;

// Returns 128 random bits as hexadecimal digits, so that two operators never choose the same id.
std::string newChangeId()
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    constexpr int Length = 32;
    std::random_device random;
    std::string id;
    for (int i = 0; i < Length; ++i)
        id.push_back(Digits[random() % Digits.size()]);
    return id;
}

} // namespace

ExitCode OperatorCommands::drain(const std::string &agent)
{
    api::DrainRequest request;
    request.set_agent(agent);
    const auto result =
        m_caller.call<api::DrainResponse>("bluebellquay.v1.Operator/Drain", request, AttemptLimit);
    if (const auto *failure = std::get_if<CallFailure>(&result))
        return m_report.failure(*failure);
    m_report.drain(std::get<api::DrainResponse>(result));
    return ExitCode::Completed;
}

ExitCode OperatorCommands::check(const std::string &document, const std::string &file)
{
    api::CheckConfigRequest request;
    request.set_document(document);
    const auto result = m_caller.call<api::CheckConfigResponse>(
        "bluebellquay.v1.Operator/CheckConfig", request, AttemptLimit);
    if (const auto *failure = std::get_if<CallFailure>(&result))
        return m_report.failure(*failure);
    const auto &response = std::get<api::CheckConfigResponse>(result);
    m_report.configCheck(response, file);
    return response.findings().empty() ? ExitCode::Completed : ExitCode::Failed;
}

ExitCode OperatorCommands::apply(const std::string &document, const std::string &file,
                                 std::uint64_t expectedVersion)
{
    api::ApplyConfigRequest request;
    request.set_document(document);
    request.set_expected_version(expectedVersion);
    request.set_change_id(newChangeId());
    const auto result = m_caller.call<api::ApplyConfigResponse>(
        "bluebellquay.v1.Operator/ApplyConfig", request, AttemptLimit);
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        const ExitCode code = m_report.failure(*failure);
        if (code == ExitCode::Unknown)
            m_report.note(
                "the change may have taken effect; \"config show\" tells: its change id is "
                + request.change_id());
        return code;
    }
    const auto &response = std::get<api::ApplyConfigResponse>(result);
    m_report.configApply(response, file);
    return response.findings().empty() ? ExitCode::Completed : ExitCode::Failed;
}

OperatorCommands::Shown OperatorCommands::readConfig()
{
    return m_caller.call<api::ShowConfigResponse>("bluebellquay.v1.Operator/ShowConfig",
                                                  api::ShowConfigRequest(), AttemptLimit);
}

ExitCode OperatorCommands::setEvacuated(const std::string &dataCentre, bool evacuated)
{
    if (!isName(dataCentre)) {
        m_report.note('"' + dataCentre + "\" is not a valid name of a data centre");
        return ExitCode::Usage;
    }
    const Shown shown = readConfig();
    if (const auto *failure = std::get_if<CallFailure>(&shown))
        return m_report.failure(*failure);
    const auto &config = std::get<api::ShowConfigResponse>(shown);
    const auto document = editEvacuation(config.document(), dataCentre, evacuated);
    if (!document) {
        m_report.note("the rules document in force can't be edited; use \"config apply\"");
        return ExitCode::Failed;
    }
    return apply(*document, "rules document", config.version());
}

ExitCode OperatorCommands::show()
{
    const Shown result = readConfig();
    if (const auto *failure = std::get_if<CallFailure>(&result))
        return m_report.failure(*failure);
    m_report.configShow(std::get<api::ShowConfigResponse>(result));
    return ExitCode::Completed;
}

} // namespace Bluebellquay
