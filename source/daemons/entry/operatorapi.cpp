#include "daemons/entry/operatorapi.h"

#include "config/rulesdocument.h"
#include "daemons/entry/conversions.h"
#include "kernel/log.h"
#include "kernel/servicenames.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace Bluebellquay {

namespace v1 = bluebellquay::v1;

namespace {

template <typename Response>
using DoneOf = std::function<void(ConnectResult<Response>)>;

// Subtracted from the caller's timeout, so that the answer arrives before the operator's tool
// gives up.
constexpr Duration AnswerMargin{50'000};

std::string_view toString(AgentState state)
{
    switch (state) {
    case AgentState::Starting:
        return "starting";
    case AgentState::Serving:
        return "serving";
    case AgentState::Leaving:
        return "leaving";
    case AgentState::Gone:
        return "gone";
    }
    return "invalid";
}

Findings check(const std::string &document)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Findings> {
            BOOST_LEAF_CHECK(RulesDocument::parse(document, "document"));
            return Findings();
        },
        [](const Findings &findings) { return findings; },
        [] {
            return Findings{{"document", 0, "", "can't be read", "check the document"}};
        });
}

ConnectResult<v1::DrainResponse> toDrainResponse(const CallResult &result)
{
    if (const auto *error = std::get_if<CallError>(&result))
        return toConnectError(*error);
    v1::DrainResponse response;
    if (const auto *state = std::get_if<DrainState>(&result))
        response.set_state(std::string(toString(state->state)));
    return response;
}

ConnectResult<v1::ApplyConfigResponse>
toApplyResponse(const std::variant<AppliedConfig, CallError> &result)
{
    if (const auto *error = std::get_if<CallError>(&result))
        return toConnectError(*error);
    const auto &applied = std::get<AppliedConfig>(result);
    v1::ApplyConfigResponse response;
    response.set_version(applied.version.value());
    for (const Finding &finding : applied.findings)
        setFinding(finding, *response.add_findings());
    return response;
}

void logApplied(const std::string &changeId, const std::variant<AppliedConfig, CallError> &result)
{
    if (const auto *error = std::get_if<CallError>(&result)) {
        LogEvent(LogLevel::Warning, "config_not_applied")
            .field("change_id", changeId)
            .field("message", error->message);
        return;
    }
    const auto &applied = std::get<AppliedConfig>(result);
    LogEvent(LogLevel::Info, "config_applied")
        .field("change_id", changeId)
        .field("version", applied.version.value())
        .field("findings", applied.findings.size());
}

} // namespace

boost::leaf::result<std::unique_ptr<OperatorApi>>
OperatorApi::create(const ServiceRegistry &services)
{
    BOOST_LEAF_AUTO(server, services.find<ConnectServer>(ServiceNames::OperatorServer));
    BOOST_LEAF_AUTO(calls, services.find<CallService>(ServiceNames::Calls));
    BOOST_LEAF_AUTO(config, services.find<ConfigService>(ServiceNames::Rules));
    BOOST_LEAF_AUTO(timers, services.find<TimerService>(ServiceNames::Timers));
    return std::unique_ptr<OperatorApi>(
        new OperatorApi(server.get(), calls.get(), config.get(), timers.get()));
}

OperatorApi::OperatorApi(ConnectServer &server, CallService &calls, ConfigService &config,
                         TimerService &timers)
    : m_calls(calls)
    , m_config(config)
    , m_timers(timers)
{
    addDrain(server);
    addCheckConfig(server);
    addApplyConfig(server);
    addShowConfig(server);
}

void OperatorApi::addDrain(ConnectServer &server)
{
    server.handle<v1::DrainRequest, v1::DrainResponse>(
        "bluebellquay.v1.Operator/Drain",
        [this](const v1::DrainRequest &request, const CallContext &context,
               DoneOf<v1::DrainResponse> done) {
            m_calls.drain(request.agent(), context.timeout,
                          [done = std::move(done)](const CallResult &result) {
                              done(toDrainResponse(result));
                          });
        });
}

void OperatorApi::addCheckConfig(ConnectServer &server)
{
    server.handle<v1::CheckConfigRequest, v1::CheckConfigResponse>(
        "bluebellquay.v1.Operator/CheckConfig",
        [this](const v1::CheckConfigRequest &request, const CallContext &,
               const DoneOf<v1::CheckConfigResponse> &done) {
            v1::CheckConfigResponse response;
            for (const Finding &finding : check(request.document()))
                setFinding(finding, *response.add_findings());
            m_calls.metrics().countOk(EntryMethod::CheckConfig);
            done(std::move(response));
        });
}

void OperatorApi::addApplyConfig(ConnectServer &server)
{
    server.handle<v1::ApplyConfigRequest, v1::ApplyConfigResponse>(
        "bluebellquay.v1.Operator/ApplyConfig",
        [this](const v1::ApplyConfigRequest &request, const CallContext &context,
               DoneOf<v1::ApplyConfigResponse> done) {
            ConfigChange change{request.document(), ConfigVersion(request.expected_version()),
                                request.change_id()};
            std::optional<Duration> timeout = context.timeout;
            if (timeout)
                timeout = std::max(*timeout - AnswerMargin, *timeout / 2);
            m_config.apply(
                std::move(change), timeout,
                [this, done = std::move(done), changeId = request.change_id(),
                 start = m_timers.now()](const std::variant<AppliedConfig, CallError> &result) {
                    EntryMetrics &metrics = m_calls.metrics();
                    if (const auto *error = std::get_if<CallError>(&result))
                        metrics.countError(EntryMethod::ApplyConfig, error->kind);
                    else
                        metrics.countOk(EntryMethod::ApplyConfig);
                    metrics.recordTime(EntryMethod::ApplyConfig, m_timers.now() - start);
                    logApplied(changeId, result);
                    done(toApplyResponse(result));
                });
        });
}

void OperatorApi::addShowConfig(ConnectServer &server)
{
    server.handle<v1::ShowConfigRequest, v1::ShowConfigResponse>(
        "bluebellquay.v1.Operator/ShowConfig",
        [this](const v1::ShowConfigRequest &, const CallContext &,
               const DoneOf<v1::ShowConfigResponse> &done) {
            m_calls.metrics().countOk(EntryMethod::ShowConfig);
            done(showConfig());
        });
}

v1::ShowConfigResponse OperatorApi::showConfig() const
{
    v1::ShowConfigResponse response;
    if (const auto &current = m_config.keeper().current()) {
        response.set_version(current->document.version.value());
        response.set_change_id(current->document.changeId);
        response.set_document(current->document.text);
    }
    m_calls.core().directory().forEachLinkedAgent([&](const KnownProcess &agent) {
        v1::ProcessVersion *process = response.add_processes();
        process->set_name(agent.info.name);
        process->set_version(agent.configVersion.value());
    });
    return response;
}

} // namespace Bluebellquay
