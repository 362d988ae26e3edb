// Serves health, readiness and metrics of an entry to plain HTTP GET requests.
#pragma once

#include "daemons/entry/callservice.h"
#include "daemons/entry/configservice.h"
#include "kernel/metrics.h"
#include "kernel/serviceregistry.h"
#include "net/connectserver.h"

#include <boost/leaf.hpp>

#include <memory>

namespace Bluebellquay {

class AdminApi
{
public:
    // Finds the admin server, metrics, calls and rules in the registry.
    static boost::leaf::result<std::unique_ptr<AdminApi>> create(const ServiceRegistry &services);

    // Makes the readiness check fail from now on.
    void beginStop() { m_stopping = true; }

private:
    AdminApi(ConnectServer &server, Metrics &metrics, CallService &calls, ConfigService &config);

    PlainResponse readiness() const;
    PlainResponse metricsText();

    Metrics &m_metrics;
    CallService &m_calls;
    ConfigService &m_config;
    bool m_stopping = false;
};

} // namespace Bluebellquay
