#include "cli/report.h"

#include "net/connectmessage.h"

#include <algorithm>
#include <string_view>

namespace Bluebellquay {

namespace api = bluebellquay::v1;

namespace {

constexpr std::size_t MaxShownBytes = 60;

// Replaces control characters, which a terminal might interpret.
std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(),
        [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }, '.');
    return text;
}

// Returns the printable form of at most MaxShownBytes bytes.
std::string shown(std::string_view bytes)
{
    const std::string text = printable(std::string(bytes.substr(0, MaxShownBytes)));
    return bytes.size() > MaxShownBytes ? text + "..." : text;
}

std::string outcomeName(api::Outcome outcome)
{
    switch (outcome) {
    case api::OUTCOME_RUNNING:
        return "running";
    case api::OUTCOME_COMPLETED:
        return "completed";
    case api::OUTCOME_FAILED:
        return "failed";
    case api::OUTCOME_NOT_RUN:
        return "not run";
    default:
        return "unknown";
    }
}

void row(std::ostream &output, std::string name, std::string_view value)
{
    constexpr std::size_t NameWidth = 14;
    name.resize(std::max(NameWidth, name.size() + 1), ' ');
    output << name << value << '\n';
}

} // namespace

ExitCode exitCodeOf(api::Outcome outcome)
{
    switch (outcome) {
    case api::OUTCOME_RUNNING:
        return ExitCode::Running;
    case api::OUTCOME_COMPLETED:
        return ExitCode::Completed;
    case api::OUTCOME_FAILED:
        return ExitCode::Failed;
    case api::OUTCOME_NOT_RUN:
        return ExitCode::NotRun;
    default:
        return ExitCode::Unknown;
    }
}

bool Report::json(const google::protobuf::Message &message)
{
    if (m_form != OutputForm::Json)
        return false;
    std::string text;
    if (!appendConnectBody(message, ConnectEncoding::Json, text))
        text = "{}";
    m_output << text << '\n';
    return true;
}

void Report::ids(const api::ReserveIdsResponse &response)
{
    if (json(response))
        return;
    for (const std::string &id : response.ids())
        m_output << id << '\n';
}

ExitCode Report::submission(const api::SubmissionResponse &response)
{
    const ExitCode code = exitCodeOf(response.outcome());
    if (json(response))
        return code;
    row(m_output, "id", response.id());
    row(m_output, "outcome", outcomeName(response.outcome()));
    if (!response.reason().empty())
        row(m_output, "reason", printable(response.reason()));
    if (!response.detail().empty())
        row(m_output, "detail", printable(response.detail()));
    if (response.retry_after_ms() > 0)
        row(m_output, "retry after", std::to_string(response.retry_after_ms()) + " ms");
    if (response.has_progress())
        row(m_output, "finished",
            std::to_string(response.progress().finished()) + " of "
                + std::to_string(response.progress().tasks()) + " tasks, "
                + std::to_string(response.progress().started()) + " started");
    for (int i = 0; i < response.outputs_size(); ++i)
        row(m_output, "output " + std::to_string(i),
            std::to_string(response.outputs(i).size()) + " bytes  " + shown(response.outputs(i)));
    return code;
}

void Report::drain(const api::DrainResponse &response)
{
    if (!json(response))
        row(m_output, "state", response.state());
}

void Report::configCheck(const api::CheckConfigResponse &response, const std::string &file)
{
    if (json(response))
        return;
    findings(response.findings(), file);
    if (response.findings().empty())
        m_output << file << ": no findings\n";
}

void Report::configApply(const api::ApplyConfigResponse &response, const std::string &file)
{
    if (json(response))
        return;
    findings(response.findings(), file);
    if (response.findings().empty())
        row(m_output, "version", std::to_string(response.version()));
}

void Report::configShow(const api::ShowConfigResponse &response)
{
    if (json(response))
        return;
    row(m_output, "version", std::to_string(response.version()));
    row(m_output, "change id", response.change_id());
    for (const api::ProcessVersion &process : response.processes())
        row(m_output, process.name(), std::to_string(process.version()));
    m_output << '\n' << response.document();
    if (!response.document().empty() && response.document().back() != '\n')
        m_output << '\n';
}

void Report::findings(const google::protobuf::RepeatedPtrField<api::Finding> &list,
                      const std::string &file)
{
    Findings converted;
    for (const api::Finding &finding : list)
        converted.push_back(
            {file, finding.line(), finding.place(), finding.message(), finding.remedy()});
    findings(converted);
}

void Report::findings(const Findings &list)
{
    for (const Finding &finding : list) {
        m_errors << finding.file << ':';
        if (finding.line > 0)
            m_errors << finding.line << ':';
        if (!finding.place.empty())
            m_errors << ' ' << printable(finding.place) << ':';
        m_errors << ' ' << printable(finding.message);
        if (!finding.remedy.empty())
            m_errors << "; " << printable(finding.remedy);
        m_errors << '\n';
    }
}

ExitCode Report::failure(const CallFailure &failure)
{
    note(std::string(toString(failure.error.code)) + ": " + failure.error.message);
    if (failure.final)
        return ExitCode::Failed;
    return failure.maybeReceived ? ExitCode::Unknown : ExitCode::Unreachable;
}

void Report::usage(const UsageError &error)
{
    note(error.message + "; " + error.remedy);
}

void Report::note(const std::string &text)
{
    m_errors << "bluebellquay: " << printable(text) << '\n';
}

} // namespace Bluebellquay
