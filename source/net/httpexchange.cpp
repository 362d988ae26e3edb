#include "net/httpexchange.h"

#include <utility>

namespace Bluebellquay {

HttpServer::Exchange::Exchange(std::shared_ptr<Session> session, std::uint64_t number)
    : m_session(std::move(session))
    , m_number(number)
{ }

HttpServer::Exchange::~Exchange()
{
    if (!m_responded)
        m_session->exchangeDropped(m_number);
}

void HttpServer::Exchange::respond(HttpResponse response)
{
    m_responded = true;
    m_session->respond(m_number, std::move(response));
}

void HttpServer::Exchange::onClosed(std::function<void()> callback)
{
    m_session->onClosed(m_number, std::move(callback));
}

} // namespace Bluebellquay
