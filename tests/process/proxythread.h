// A fault proxy on a thread of its own, for tests that block while they wait.
#pragma once

#include "standins/faultproxy.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <thread>

namespace Bluebellquay::Testing {

class ProxyThread
{
public:
    ProxyThread();
    ~ProxyThread();
    ProxyThread(const ProxyThread &) = delete;
    ProxyThread &operator=(const ProxyThread &) = delete;

    // Runs a command of the proxy and returns its reply. May be called from any thread.
    std::string execute(const std::string &command);

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    // Used on m_thread only, once that runs.
    FaultProxy m_proxy;
    std::thread m_thread;
};

} // namespace Bluebellquay::Testing
