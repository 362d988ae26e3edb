// Serves the operator interface bluebellquay.v1.Operator over the Connect protocol.
#pragma once

#include "daemons/entry/callservice.h"
#include "daemons/entry/configservice.h"
#include "kernel/serviceregistry.h"
#include "net/connectserver.h"

#include <boost/leaf.hpp>

#include <memory>

namespace Bluebellquay {

class OperatorApi
{
public:
    // Finds the operator server, timers, calls and rules in the registry.
    static boost::leaf::result<std::unique_ptr<OperatorApi>>
    create(const ServiceRegistry &services);

private:
    OperatorApi(ConnectServer &server, CallService &calls, ConfigService &config,
                TimerService &timers);

    void addDrain(ConnectServer &server);
    void addCheckConfig(ConnectServer &server);
    void addApplyConfig(ConnectServer &server);
    void addShowConfig(ConnectServer &server);
    bluebellquay::v1::ShowConfigResponse showConfig() const;

    CallService &m_calls;
    ConfigService &m_config;
    TimerService &m_timers;
};

} // namespace Bluebellquay
