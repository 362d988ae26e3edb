#include "daemons/entry/adminapi.h"

#include "kernel/servicenames.h"

namespace Bluebellquay {

namespace {

constexpr unsigned ServiceUnavailable = 503;

PlainResponse notReady(std::string reason)
{
    PlainResponse response;
    response.status = ServiceUnavailable;
    response.body = std::move(reason);
    return response;
}

} // namespace

boost::leaf::result<std::unique_ptr<AdminApi>> AdminApi::create(const ServiceRegistry &services)
{
    BOOST_LEAF_AUTO(server, services.find<ConnectServer>(ServiceNames::AdminServer));
    BOOST_LEAF_AUTO(metrics, services.find<Metrics>(ServiceNames::Metrics));
    BOOST_LEAF_AUTO(calls, services.find<CallService>(ServiceNames::Calls));
    BOOST_LEAF_AUTO(config, services.find<ConfigService>(ServiceNames::Rules));
    return std::unique_ptr<AdminApi>(
        new AdminApi(server.get(), metrics.get(), calls.get(), config.get()));
}

AdminApi::AdminApi(ConnectServer &server, Metrics &metrics, CallService &calls,
                   ConfigService &config)
    : m_metrics(metrics)
    , m_calls(calls)
    , m_config(config)
{
    server.handleGet("/healthz", [] { return PlainResponse{200, "text/plain", "ok\n"}; });
    server.handleGet("/readyz", [this] { return readiness(); });
    server.handleGet("/metrics", [this] { return metricsText(); });
}

PlainResponse AdminApi::readiness() const
{
    if (m_stopping)
        return notReady("stopping\n");
    if (!m_config.ready())
        return notReady("no rules document is in force yet\n");
    bool linked = false;
    m_calls.core().directory().forEachLinkedAgent([&](const KnownProcess &) { linked = true; });
    if (!linked)
        return notReady("no agent is linked\n");
    return PlainResponse{200, "text/plain", "ready\n"};
}

PlainResponse AdminApi::metricsText()
{
    m_calls.metrics().update(m_calls.core().statistics(), m_calls.core().openCalls());
    m_calls.metrics().update(m_config.keeper().statistics(), m_config.keeper().version());
    return PlainResponse{200, "text/plain; version=0.0.4; charset=utf-8",
                         m_metrics.toPrometheusText()};
}

} // namespace Bluebellquay
