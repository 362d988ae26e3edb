// Serves the caller interface bluebellquay.v1.Dispatcher over the Connect protocol.
#pragma once

#include "daemons/entry/callservice.h"
#include "kernel/serviceregistry.h"
#include "net/connectserver.h"

#include <boost/leaf.hpp>

#include <memory>

namespace Bluebellquay {

class CallerApi
{
public:
    // Finds the caller server, timers and calls in the registry.
    static boost::leaf::result<std::unique_ptr<CallerApi>> create(const ServiceRegistry &services);

private:
    CallerApi(ConnectServer &server, CallService &calls, TimerService &timers);

    void addSubmit(ConnectServer &server);
    template <typename Request>
    void addIdCall(ConnectServer &server, std::string method,
                   CallId (CallService::*call)(std::string_view, CallService::Timeout,
                                               CallService::Done));
    void addReserveIds(ConnectServer &server);

    CallService &m_calls;
    TimerService &m_timers;
};

} // namespace Bluebellquay
