#include "net/httpsession.h"

#include "kernel/log.h"
#include "net/httpexchange.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace Bluebellquay {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr unsigned HttpVersion11 = 11;
// Most requests fit, so that one read takes them whole.
constexpr std::size_t ReadBytes = 4'096;
constexpr unsigned StatusMalformed = 400;
constexpr unsigned StatusTooLarge = 413;
constexpr unsigned StatusHeaderTooLarge = 431;
constexpr unsigned StatusBadGateway = 502;
// Says that the request has not run and never will.
constexpr unsigned StatusUnavailable = 503;
constexpr std::uint32_t RefusedRetrySeconds = 1;
// Clients send their first request as soon as they are connected.
constexpr Duration FirstRequestDelay{500'000};
constexpr const char *RequestIdHeader = "Request-Id";

} // namespace

void HttpServer::Session::enter(Phase phase)
{
    m_phase = phase;
    m_since = m_listener->now();
    m_progressAt = m_since;
    if (phase != Phase::Reading)
        m_listener->setUnfinished(*this, 0);
}

void HttpServer::Session::read()
{
    enter(Phase::Idle);
    m_requestId.clear();
    m_readBytes = 0;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_listener->settings().maxHeaderBytes));
    m_parser->body_limit(m_listener->settings().maxBodyBytes);
    if (m_buffer.size() > 0)
        parse();
    else
        receive();
}

void HttpServer::Session::receive()
{
    m_socket.async_read_some(
        m_buffer.prepare(ReadBytes),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            self->received(error, size);
        });
}

void HttpServer::Session::received(const boost::system::error_code &error, std::size_t size)
{
    // While a response is written, only a read that refuse() has cancelled can end.
    if (m_phase == Phase::Closed || m_phase == Phase::Writing)
        return;
    if (m_phase == Phase::Draining) {
        m_drained += size;
        if (error || m_drained > m_listener->settings().maxDrainedBytes)
            return close(ConnectionEnd::ResponseSent);
        return drain();
    }
    if (error)
        return close(requestBegun() ? ConnectionEnd::RequestCutShort : ConnectionEnd::ClientClosed);
    m_buffer.commit(size);
    m_progressAt = m_listener->now();
    parse();
}

void HttpServer::Session::parse()
{
    if (m_phase == Phase::Idle)
        enter(Phase::Reading);
    boost::system::error_code error;
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        const std::size_t used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        m_readBytes += used;
        if (error || used == 0)
            break;
    }
    if (error && error != http::error::need_more)
        return refuseMalformed(error);
    if (m_parser->is_done())
        return requestRead();
    // The parser takes the line of a chunk, and all trailers, only when they are whole.
    if (m_buffer.size() > m_listener->settings().maxHeaderBytes)
        return refuse(HttpResponse{StatusHeaderTooLarge, {}, {}});
    m_listener->setUnfinished(*this, unfinishedBytes());
    if (m_phase == Phase::Reading)
        receive();
}

std::size_t HttpServer::Session::unfinishedBytes() const
{
    const std::size_t header = std::min(m_readBytes, m_listener->settings().maxHeaderBytes);
    return header + m_buffer.capacity() + m_parser->get().body().capacity();
}

void HttpServer::Session::refuseForMemory()
{
    recordEnd(ConnectionEnd::MemoryLimit);
    m_parser.reset();
    refuse(HttpResponse{StatusUnavailable, {}, RefusedRetrySeconds});
}

void HttpServer::Session::refuseMalformed(const boost::system::error_code &error)
{
    const bool tooLarge = error == http::error::body_limit || error == http::error::header_limit;
    refuse(HttpResponse{tooLarge ? StatusTooLarge : StatusMalformed, {}, {}});
}

void HttpServer::Session::refuse(HttpResponse response)
{
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
    m_keepAlive = false;
    beginExchange();
    write(std::move(response));
}

void HttpServer::Session::requestRead()
{
    // A process that was paused or busy finds requests whose callers gave up on it long ago and
    // have gone elsewhere with them.
    m_requestId = std::string(m_parser->get()[RequestIdHeader]);
    const boost::system::error_code end = clientEnd();
    if (end)
        recordEnd(ConnectionEnd::ClientGoneBeforeHandling);
    if (end == asio::error::eof)
        return refuse(HttpResponse{StatusUnavailable, {}, RefusedRetrySeconds});
    if (end)
        return close(ConnectionEnd::ClientGoneBeforeHandling);
    http::request<http::string_body> message = m_parser->release();
    m_keepAlive = message.keep_alive();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.host = std::string(message[http::field::host]);
    request.body = std::move(message.body());
    request.headers = std::move(static_cast<http::fields &>(message.base()));
    enter(Phase::Handling);
    beginExchange();
    handle(request);
    if (m_phase == Phase::Handling)
        watchForClose();
}

void HttpServer::Session::handle(const HttpRequest &request)
{
    const std::uint64_t number = m_exchange;
    try {
        m_listener->handle(request, std::make_shared<Exchange>(shared_from_this(), number));
    } catch (...) {
        // The error itself is logged by the event loop.
        if (waitsFor(number))
            answerForHandler(UnansweredRequest::HandlerFailed);
        throw;
    }
}

bool HttpServer::Session::waitsFor(std::uint64_t exchange) const
{
    return m_exchangeOpen && exchange == m_exchange;
}

void HttpServer::Session::beginExchange()
{
    m_exchangeOpen = true;
    ++m_exchange;
    ++m_listener->openExchanges;
}

void HttpServer::Session::onClosed(std::uint64_t exchange, std::function<void()> callback)
{
    if (waitsFor(exchange))
        m_closed = std::move(callback);
}

void HttpServer::Session::exchangeDropped(std::uint64_t exchange)
{
    if (!waitsFor(exchange))
        return;
    asio::post(m_socket.get_executor(), [self = shared_from_this(), exchange] {
        if (self->waitsFor(exchange))
            self->answerForHandler(UnansweredRequest::ExchangeDropped);
    });
}

void HttpServer::Session::answerForHandler(UnansweredRequest reason)
{
    m_listener->unanswered.add(reason);
    LogEvent(LogLevel::Warning, "request_unanswered")
        .field("listener", m_listener->settings().name)
        .field("request", m_requestId)
        .field("reason", toString(reason));
    const auto closed = std::exchange(m_closed, nullptr);
    write(HttpResponse{StatusBadGateway, {}, {}});
    if (closed)
        closed();
}

boost::system::error_code HttpServer::Session::clientEnd()
{
    char next = 0;
    boost::system::error_code error;
    m_socket.non_blocking(true, error);
    m_socket.receive(asio::buffer(&next, 1), Tcp::socket::message_peek, error);
    return error == asio::error::would_block ? boost::system::error_code() : error;
}

void HttpServer::Session::watchForClose()
{
    if (m_watching || m_buffer.size() > 0)
        return;
    m_watching = true;
    m_socket.async_wait(Tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &error) {
                            self->m_watching = false;
                            if (error || self->m_phase != Phase::Handling)
                                return;
                            self->checkClientEnd();
                        });
}

void HttpServer::Session::checkClientEnd()
{
    const boost::system::error_code end = clientEnd();
    if (!end)
        return;
    if (end != asio::error::eof)
        return close(ConnectionEnd::ClientGoneWhileHandling);
    recordEnd(ConnectionEnd::ClientGoneWhileHandling);
    m_keepAlive = false;
    const auto closed = std::exchange(m_closed, nullptr);
    write(HttpResponse{StatusBadGateway, {}, {}});
    if (closed)
        closed();
}

void HttpServer::Session::respond(std::uint64_t exchange, HttpResponse response)
{
    if (waitsFor(exchange))
        write(std::move(response));
}

void HttpServer::Session::write(HttpResponse response)
{
    settle();
    enter(Phase::Writing);
    const bool keepAlive = m_keepAlive && !m_listener->closing;
    m_response = {};
    m_response.version(HttpVersion11);
    m_response.result(response.status);
    if (!response.body.empty())
        m_response.set(http::field::content_type, "application/json");
    if (response.retryAfterSeconds)
        m_response.set(http::field::retry_after, std::to_string(*response.retryAfterSeconds));
    m_response.body() = std::move(response.body);
    m_response.keep_alive(keepAlive);
    m_response.prepare_payload();
    if (m_watching) {
        boost::system::error_code ignored;
        m_socket.cancel(ignored);
    }
    http::async_write(
        m_socket, m_response,
        [self = shared_from_this(), keepAlive](const boost::system::error_code &error,
                                               std::size_t) { self->written(error, keepAlive); });
}

void HttpServer::Session::written(const boost::system::error_code &error, bool keepAlive)
{
    if (m_phase == Phase::Closed)
        return;
    if (error)
        return close(ConnectionEnd::WriteFailed);
    ++m_responses;
    if (keepAlive)
        return read();
    recordEnd(ConnectionEnd::ResponseSent);
    enter(Phase::Draining);
    boost::system::error_code ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    drain();
}

void HttpServer::Session::drain()
{
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    receive();
}

void HttpServer::Session::settle()
{
    if (!m_exchangeOpen)
        return;
    m_exchangeOpen = false;
    --m_listener->openExchanges;
    m_closed = nullptr;
}

void HttpServer::Session::close(ConnectionEnd end)
{
    if (m_phase == Phase::Closed)
        return;
    recordEnd(end);
    enter(Phase::Closed);
    const auto closed = std::exchange(m_closed, nullptr);
    const bool open = m_exchangeOpen;
    settle();
    boost::system::error_code ignored;
    m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    if (open && closed)
        closed();
}

void HttpServer::Session::sweep(TimePoint now)
{
    if (m_phase == Phase::Handling || now <= m_since + timeLimit())
        return;
    if (m_phase == Phase::Draining)
        return close(ConnectionEnd::ResponseSent);
    if (m_phase == Phase::Writing)
        return close(ConnectionEnd::WriteTimeout);
    // A process that was held up finds the sweep due before it has read what arrived meanwhile.
    if (unreadBytes() > 0)
        return;
    if (m_phase == Phase::Idle)
        return close(ConnectionEnd::IdleTimeout);
    recordEnd(ConnectionEnd::RequestTimeout);
    refuse(HttpResponse{StatusUnavailable, {}, RefusedRetrySeconds});
}

bool HttpServer::Session::busy()
{
    if (m_phase == Phase::Closed)
        return false;
    if (requestBegun() || m_drained > 0 || unreadBytes() > 0)
        return true;
    return m_responses == 0 && m_listener->now() < m_since + FirstRequestDelay;
}

void HttpServer::Session::closeIfIdle()
{
    if (m_phase == Phase::Idle && !busy())
        close(ConnectionEnd::ServerClosed);
}

Duration HttpServer::Session::timeLimit() const
{
    const HttpServerSettings &settings = m_listener->settings();
    if (m_phase == Phase::Reading)
        return settings.requestTimeout;
    return m_phase == Phase::Draining ? settings.drainTimeout : settings.idleTimeout;
}

bool HttpServer::Session::requestBegun() const
{
    return m_phase == Phase::Reading || m_phase == Phase::Handling || m_phase == Phase::Writing;
}

std::size_t HttpServer::Session::unreadBytes()
{
    boost::system::error_code error;
    const std::size_t size = m_socket.is_open() ? m_socket.available(error) : 0;
    return error ? 0 : size;
}

std::string_view HttpServer::Session::phaseName() const
{
    switch (m_phase) {
    case Phase::Idle:
        return "idle";
    case Phase::Reading:
        return "reading";
    case Phase::Handling:
        return "handling";
    case Phase::Writing:
        return "writing";
    case Phase::Draining:
        return "draining";
    case Phase::Closed:
        break;
    }
    return "closed";
}

void HttpServer::Session::recordEnd(ConnectionEnd end)
{
    if (std::exchange(m_endRecorded, true))
        return;
    m_listener->ends.add(end);
    if (!requestBegun() || end == ConnectionEnd::ResponseSent
        || !m_listener->endLog().allow(m_listener->now()))
        return;
    LogEvent(LogLevel::Info, "connection_ended")
        .field("listener", m_listener->settings().name)
        .field("reason", toString(end))
        .field("phase", phaseName())
        .field("phase_ms", (m_listener->now() - m_since).count() / 1000)
        .field("request", m_requestId)
        .field("unread_bytes", unreadBytes())
        .field("responses_before", m_responses)
        .field("not_logged", m_listener->endLog().takeSuppressed());
}

} // namespace Bluebellquay
