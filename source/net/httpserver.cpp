#include "net/httpserver.h"

#include "kernel/log.h"
#include "net/connectserver.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>
#include <unordered_set>
#include <utility>

namespace Bluebellquay {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr unsigned HttpVersion11 = 11;
constexpr Duration SweepInterval{500'000};
// Delay after an accept that failed, for example because no file descriptor is left.
constexpr Duration AcceptRetryDelay{50'000};
constexpr int ListenBacklog = 1024;
// Most requests fit, so that one read takes them whole.
constexpr std::size_t ReadBytes = 4'096;
constexpr const char *RequestIdHeader = "Request-Id";

} // namespace

std::string_view HttpRequest::header(std::string_view name) const
{
    const auto position = headers.find(boost::beast::string_view(name.data(), name.size()));
    if (position == headers.end())
        return {};
    return {position->value().data(), position->value().size()};
}

class HttpServer::Listener : public std::enable_shared_from_this<Listener>
{
public:
    Listener(asio::io_context &context, TimerService &timers, HttpServerSettings settings,
             HttpHandler handler)
        : m_settings(std::move(settings))
        , m_handler(std::move(handler))
        , m_timers(timers)
        , m_acceptor(context)
    { }

    boost::leaf::result<void> open();
    void accept();
    void shutDown();
    void sweep();
    unsigned short port() const { return m_port; }

    const HttpServerSettings &settings() const { return m_settings; }
    TimePoint now() const { return m_timers.now(); }
    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
    {
        if (m_handler)
            m_handler(request, exchange);
    }
    void remove(Session *session) { m_sessions.erase(session); }

    bool closing = false;
    std::size_t openExchanges = 0;
    std::size_t writing = 0;
    ConnectionEndCounts ends;

private:
    void startSweeping();

    HttpServerSettings m_settings;
    HttpHandler m_handler;
    TimerService &m_timers;
    Tcp::acceptor m_acceptor;
    unsigned short m_port = 0;
    // Sessions keep themselves alive by their pending operations and remove themselves at the end.
    std::unordered_set<Session *> m_sessions;
    TimerSubscription m_sweep;
    TimerSubscription m_acceptRetry;
};

class HttpServer::Session final : public HttpExchange, public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<Listener> listener, Tcp::socket socket)
        : m_listener(std::move(listener))
        , m_socket(std::move(socket))
        , m_since(m_listener->now())
    {
        boost::system::error_code ignored;
        m_socket.set_option(Tcp::no_delay(true), ignored);
    }
    ~Session() override
    {
        recordEnd(ConnectionEnd::SessionDropped);
        settle();
        m_listener->remove(this);
    }

    void read();
    void respond(HttpResponse response) override;
    void onClosed(std::function<void()> callback) override { m_closed = std::move(callback); }
    void sweep(TimePoint now);
    void close(ConnectionEnd end);

private:
    enum class Phase { Idle, Reading, Handling, Writing, Closed };

    void receive();
    void received(const boost::system::error_code &error, std::size_t size);
    void parse();
    void refuseMalformed(const boost::system::error_code &error);
    void requestRead();
    void enter(Phase phase);
    // Whether the client has closed its side or reset the connection by now.
    bool clientGone();
    void watchForClose();
    // The request in progress, if any, is over.
    void settle();
    // Counts the end of the connection, and logs it if a request had begun. The first one counts.
    void recordEnd(ConnectionEnd end);
    bool requestBegun() const { return m_phase != Phase::Idle && m_phase != Phase::Closed; }
    // Bytes that have arrived and are not read yet.
    std::size_t unreadBytes();
    std::string_view phaseName() const;

    std::shared_ptr<Listener> m_listener;
    Tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    std::function<void()> m_closed;
    Phase m_phase = Phase::Idle;
    // Start of the present phase.
    TimePoint m_since;
    bool m_keepAlive = true;
    bool m_exchangeOpen = false;
    bool m_watching = false;
    bool m_endRecorded = false;
    // Responses sent on this connection.
    std::uint64_t m_responses = 0;
    // The caller's name for the request in progress, for the logs.
    std::string m_requestId;
};

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
        if (self->m_sessions.size() < self->m_settings.maxConnections) {
            auto session = std::make_shared<Session>(self, std::move(socket));
            self->m_sessions.insert(session.get());
            session->read();
        } else {
            LogEvent(LogLevel::Warning, "connection_refused")
                .field("reason", "too_many_connections")
                .field("connections", self->m_sessions.size());
        }
        self->accept();
    });
}

void HttpServer::Listener::sweep()
{
    const std::vector<Session *> sessions(m_sessions.begin(), m_sessions.end());
    for (Session *session : sessions) {
        if (m_sessions.contains(session))
            session->sweep(now());
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

void HttpServer::Session::enter(Phase phase)
{
    m_phase = phase;
    m_since = m_listener->now();
}

void HttpServer::Session::read()
{
    enter(Phase::Idle);
    m_requestId.clear();
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
    if (m_phase == Phase::Closed)
        return;
    if (error)
        return close(requestBegun() ? ConnectionEnd::RequestCutShort : ConnectionEnd::ClientClosed);
    m_buffer.commit(size);
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
        if (error || used == 0)
            break;
    }
    if (error && error != http::error::need_more)
        return refuseMalformed(error);
    if (m_parser->is_done())
        requestRead();
    else
        receive();
}

void HttpServer::Session::refuseMalformed(const boost::system::error_code &error)
{
    const bool tooLarge = error == http::error::body_limit || error == http::error::header_limit;
    m_keepAlive = false;
    m_exchangeOpen = true;
    ++m_listener->openExchanges;
    respond(HttpResponse{tooLarge ? 413U : 400U, {}, {}});
}

void HttpServer::Session::requestRead()
{
    // A process that was paused or busy finds requests whose callers gave up on it long ago and
    // have gone elsewhere with them.
    m_requestId = std::string(m_parser->get()[RequestIdHeader]);
    if (clientGone())
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
    m_exchangeOpen = true;
    ++m_listener->openExchanges;
    m_listener->handle(request, shared_from_this());
    if (m_phase == Phase::Handling)
        watchForClose();
}

bool HttpServer::Session::clientGone()
{
    char next = 0;
    boost::system::error_code error;
    m_socket.non_blocking(true, error);
    m_socket.receive(asio::buffer(&next, 1), Tcp::socket::message_peek, error);
    return error && error != asio::error::would_block;
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
                            boost::system::error_code failed;
                            // Readable without data: the client has closed its side.
                            if (self->m_socket.available(failed) == 0 || failed)
                                self->close(ConnectionEnd::ClientGoneWhileHandling);
                        });
}

void HttpServer::Session::respond(HttpResponse response)
{
    if (!m_exchangeOpen || m_phase == Phase::Closed)
        return;
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
    ++m_listener->writing;
    http::async_write(m_socket, m_response,
                      [self = shared_from_this(), keepAlive](const boost::system::error_code &error,
                                                             std::size_t) {
                          --self->m_listener->writing;
                          if (self->m_phase == Phase::Closed)
                              return;
                          if (error)
                              return self->close(ConnectionEnd::WriteFailed);
                          ++self->m_responses;
                          if (!keepAlive)
                              return self->close(ConnectionEnd::ResponseSent);
                          self->read();
                      });
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
    m_phase = Phase::Closed;
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
    const HttpServerSettings &settings = m_listener->settings();
    const Duration limit =
        m_phase == Phase::Reading ? settings.requestTimeout : settings.idleTimeout;
    if (m_phase == Phase::Handling || now <= m_since + limit)
        return;
    if (m_phase == Phase::Writing)
        return close(ConnectionEnd::WriteTimeout);
    // A process that was held up finds the sweep due before it has read what arrived meanwhile.
    if (unreadBytes() > 0)
        return;
    close(m_phase == Phase::Reading ? ConnectionEnd::RequestTimeout : ConnectionEnd::IdleTimeout);
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
    if (!requestBegun() || end == ConnectionEnd::ResponseSent)
        return;
    LogEvent(LogLevel::Info, "connection_ended")
        .field("listener", m_listener->settings().name)
        .field("reason", toString(end))
        .field("phase", phaseName())
        .field("phase_ms", (m_listener->now() - m_since).count() / 1000)
        .field("request", m_requestId)
        .field("unread_bytes", unreadBytes())
        .field("responses_before", m_responses);
}

HttpServer::HttpServer(std::shared_ptr<Listener> listener)
    : m_listener(std::move(listener))
{ }

HttpServer::~HttpServer()
{
    m_listener->shutDown();
}

boost::leaf::result<std::unique_ptr<HttpServer>>
HttpServer::create(boost::asio::io_context &context, TimerService &timers,
                   HttpServerSettings settings, HttpHandler handler)
{
    auto listener =
        std::make_shared<Listener>(context, timers, std::move(settings), std::move(handler));
    BOOST_LEAF_CHECK(listener->open());
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(listener)));
}

unsigned short HttpServer::port() const
{
    return m_listener->port();
}

std::size_t HttpServer::openExchanges() const
{
    return m_listener->openExchanges;
}

const ConnectionEndCounts &HttpServer::connectionEnds() const
{
    return m_listener->ends;
}

bool HttpServer::idle() const
{
    return m_listener->openExchanges == 0 && m_listener->writing == 0;
}

void HttpServer::closeAfterResponse()
{
    m_listener->closing = true;
}

} // namespace Bluebellquay
