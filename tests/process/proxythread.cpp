#include "process/proxythread.h"

#include <boost/asio/post.hpp>

#include <future>

namespace Bluebellquay::Testing {

ProxyThread::ProxyThread()
    : m_work(boost::asio::make_work_guard(m_context))
    , m_proxy(m_context, 0)
    , m_thread([this] { m_context.run(); })
{ }

ProxyThread::~ProxyThread()
{
    boost::asio::post(m_context, [this] {
        m_proxy.stop();
        m_context.stop();
    });
    m_thread.join();
}

std::string ProxyThread::execute(const std::string &command)
{
    std::promise<std::string> reply;
    boost::asio::post(m_context, [&] { reply.set_value(m_proxy.execute(command)); });
    return reply.get_future().get();
}

} // namespace Bluebellquay::Testing
