#include "net/httplistener.h"

#include "kernel/log.h"
#include "net/connectserver.h"
#include "net/httpsession.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace Bluebellquay {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr Duration SweepInterval{500'000};
// Delay after an accept that failed, for example because no file descriptor is left.
constexpr Duration AcceptRetryDelay{50'000};
constexpr int ListenBacklog = 1024;

} // namespace

boost::leaf::result<void> HttpServer::Listener::open()
{
    boost::system::error_code error;
    m_acceptor.open(m_settings.endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(m_settings.endpoint, error);
    if (!error)
        m_acceptor.listen(ListenBacklog, error);
    if (error) {
        std::ostringstream endpoint;
        endpoint << m_settings.endpoint;
        return boost::leaf::new_error(ListenError{endpoint.str(), error.message()});
    }
    m_port = m_acceptor.local_endpoint().port();
    startSweeping();
    accept();
    return {};
}

void HttpServer::Listener::startSweeping()
{
    m_sweep = m_timers.every(SweepInterval, [this](TimePoint) { sweep(); });
}

void HttpServer::Listener::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](const boost::system::error_code &error,
                                                        Tcp::socket socket) {
        if (error == asio::error::operation_aborted || !self->m_acceptor.is_open())
            return;
        if (error) {
            self->m_acceptRetry = self->m_timers.at(
                self->now() + AcceptRetryDelay, [raw = self.get()](TimePoint) { raw->accept(); });
            return;
        }
        self->admit(std::move(socket));
        self->accept();
    });
}

void HttpServer::Listener::admit(Tcp::socket socket)
{
    if (m_sessions.size() >= m_settings.maxConnections) {
        Session *const oldest = longestWithoutProgress(false);
        if (oldest == nullptr) {
            // All requests are whole.
            ends.add(ConnectionEnd::ConnectionLimit);
            if (m_endLog.allow(now()))
                LogEvent(LogLevel::Warning, "connection_refused")
                    .field("listener", m_settings.name)
                    .field("reason", "too_many_connections")
                    .field("connections", m_sessions.size())
                    .field("not_logged", m_endLog.takeSuppressed());
            return;
        }
        oldest->close(ConnectionEnd::ConnectionLimit);
    }
    auto session = std::make_shared<Session>(shared_from_this(), std::move(socket));
    m_sessions.insert(session.get());
    session->read();
}

HttpServer::Session *HttpServer::Listener::longestWithoutProgress(bool withRequest) const
{
    Session *oldest = nullptr;
    for (Session *session : m_sessions) {
        const bool eligible = withRequest ? session->unfinished() : session->expendable();
        if (eligible && (oldest == nullptr || session->progressAt() < oldest->progressAt()))
            oldest = session;
    }
    return oldest;
}

void HttpServer::Listener::setUnfinished(Session &session, std::size_t bytes)
{
    m_unfinishedBytes -= session.chargeUnfinished(bytes);
    m_unfinishedBytes += bytes;
    while (m_unfinishedBytes > m_settings.maxUnfinishedBytes) {
        Session *const oldest = longestWithoutProgress(true);
        if (oldest == nullptr)
            break;
        oldest->refuseForMemory();
    }
    m_mostUnfinishedBytes = std::max(m_mostUnfinishedBytes, m_unfinishedBytes);
}

void HttpServer::Listener::sweep()
{
    const std::vector<Session *> sessions(m_sessions.begin(), m_sessions.end());
    for (Session *session : sessions) {
        if (m_sessions.contains(session))
            session->sweep(now());
    }
}

bool HttpServer::Listener::idle() const
{
    return std::none_of(m_sessions.begin(), m_sessions.end(),
                        [](Session *session) { return session->busy(); });
}

void HttpServer::Listener::closeIdleConnections()
{
    const std::vector<Session *> sessions(m_sessions.begin(), m_sessions.end());
    for (Session *session : sessions) {
        if (m_sessions.contains(session))
            session->closeIfIdle();
    }
}

void HttpServer::Listener::shutDown()
{
    m_handler = nullptr;
    m_sweep.cancel();
    m_acceptRetry.cancel();
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    const std::vector<Session *> sessions(m_sessions.begin(), m_sessions.end());
    for (Session *session : sessions) {
        if (m_sessions.contains(session))
            session->close(ConnectionEnd::ServerClosed);
    }
}

} // namespace Bluebellquay
