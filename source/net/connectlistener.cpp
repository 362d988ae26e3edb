#include "net/connectlistener.h"

#include "net/connectsession.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Bluebellquay {

namespace {

constexpr auto MinSweepInterval = std::chrono::milliseconds(5);
constexpr auto MaxSweepInterval = std::chrono::milliseconds(500);
// Delay after an accept that failed, for example because no file descriptor is left.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(50);
// Connections above the limit that are answered with unavailable. Closing them unanswered would
// leave their callers without knowing whether the request ran.
constexpr std::size_t MaxRejectedConnections = 256;

} // namespace

ConnectServer::Listener::Listener(boost::asio::io_context &context, ConnectServerSettings settings)
    : m_settings(std::move(settings))
    , m_acceptor(context)
    , m_sweepTimer(context)
    , m_retryTimer(context)
    , m_sweepInterval(std::clamp<Clock::duration>(
          std::min(m_settings.requestTimeout, m_settings.idleTimeout) / 8, MinSweepInterval,
          MaxSweepInterval))
{ }

void ConnectServer::Listener::open()
{
    m_acceptor.open(m_settings.endpoint.protocol());
    m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    m_acceptor.bind(m_settings.endpoint);
    m_acceptor.listen();
    m_port = m_acceptor.local_endpoint().port();
}

void ConnectServer::Listener::accept()
{
    const std::size_t limit = m_settings.maxConnections + MaxRejectedConnections;
    if (m_stopping || m_accepting || m_sessions.size() >= limit)
        return;
    m_accepting = true;
    m_acceptor.async_accept(
        [self = shared_from_this()](const boost::system::error_code &error, ServerSocket socket) {
            self->m_accepting = false;
            self->onAccept(error, std::move(socket));
        });
}

void ConnectServer::Listener::onAccept(const boost::system::error_code &error, ServerSocket socket)
{
    if (m_stopping)
        return;
    if (error) {
        retryAccept();
        return;
    }
    const bool reject = m_sessions.size() >= m_settings.maxConnections;
    const auto session = std::make_shared<Session>(shared_from_this(), std::move(socket), reject);
    m_sessions.insert(session);
    session->start();
    if (!std::exchange(m_sweeping, true))
        sweep();
    accept();
}

void ConnectServer::Listener::retryAccept()
{
    m_retryTimer.expires_after(AcceptRetryDelay);
    m_retryTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->accept();
    });
}

// One timer for all connections: a timer per connection would be set and cancelled with each
// request.
void ConnectServer::Listener::sweep()
{
    m_sweepTimer.expires_after(m_sweepInterval);
    m_sweepTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error)
            return;
        const auto now = Clock::now();
        std::vector<std::shared_ptr<Session>> expired;
        std::vector<std::shared_ptr<Session>> abandoned;
        for (const auto &session : self->m_sessions) {
            if (session->expired(now))
                expired.push_back(session);
            else if (session->callerLeft())
                abandoned.push_back(session);
        }
        for (const auto &session : abandoned)
            session->abandonCall();
        for (const auto &session : expired)
            session->close();
        if (self->m_sessions.empty())
            self->m_sweeping = false;
        else
            self->sweep();
    });
}

void ConnectServer::Listener::remove(const std::shared_ptr<Session> &session)
{
    m_sessions.erase(session);
    accept();
    finishStop();
}

void ConnectServer::Listener::stop(std::function<void()> stopped)
{
    m_stopped = std::move(stopped);
    m_stopping = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_retryTimer.cancel();
    const std::vector<std::shared_ptr<Session>> sessions(m_sessions.begin(), m_sessions.end());
    for (const auto &session : sessions)
        session->closeIfIdle();
    finishStop();
}

// Posts the callback, so that it may destroy the server.
void ConnectServer::Listener::finishStop()
{
    if (!m_stopping || !m_sessions.empty() || !m_stopped)
        return;
    m_sweepTimer.cancel();
    boost::asio::post(m_acceptor.get_executor(), std::exchange(m_stopped, nullptr));
}

void ConnectServer::Listener::shutdown()
{
    m_stopping = true;
    m_stopped = nullptr;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_retryTimer.cancel();
    m_sweepTimer.cancel();
    const auto sessions = std::exchange(m_sessions, {});
    for (const auto &session : sessions)
        session->close();
}

const ConnectServer::Method *ConnectServer::Listener::findMethod(std::string_view path) const
{
    const auto position = m_methods.find(path);
    return position == m_methods.end() ? nullptr : &position->second;
}

const std::function<PlainResponse()> *ConnectServer::Listener::findGet(std::string_view path) const
{
    const auto position = m_getHandlers.find(path);
    return position == m_getHandlers.end() ? nullptr : &position->second;
}

} // namespace Bluebellquay
