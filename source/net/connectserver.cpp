#include "net/connectserver.h"

#include "net/connectlistener.h"

#include <boost/system/system_error.hpp>

#include <sstream>

namespace Bluebellquay {

boost::leaf::result<std::unique_ptr<ConnectServer>>
ConnectServer::create(boost::asio::io_context &context, ConnectServerSettings settings)
{
    std::ostringstream endpoint;
    endpoint << settings.endpoint;
    auto listener = std::make_shared<Listener>(context, std::move(settings));
    try {
        listener->open();
    } catch (const boost::system::system_error &error) {
        return boost::leaf::new_error(ListenError{endpoint.str(), error.code().message()});
    }
    listener->accept();
    return std::unique_ptr<ConnectServer>(new ConnectServer(std::move(listener)));
}

ConnectServer::ConnectServer(std::shared_ptr<Listener> listener)
    : m_listener(std::move(listener))
{ }

ConnectServer::~ConnectServer()
{
    m_listener->shutdown();
}

void ConnectServer::handleMethod(std::string path, Method method)
{
    m_listener->add("/" + std::move(path), std::move(method));
}

void ConnectServer::handleGet(std::string path, std::function<PlainResponse()> handler)
{
    m_listener->addGet(std::move(path), std::move(handler));
}

unsigned short ConnectServer::port() const
{
    return m_listener->port();
}

void ConnectServer::stop(std::function<void()> stopped)
{
    m_listener->stop(std::move(stopped));
}

} // namespace Bluebellquay
