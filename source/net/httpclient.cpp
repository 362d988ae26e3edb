#include "net/httpclient.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <optional>
#include <sstream>
#include <unordered_set>

namespace Bluebellquay {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr unsigned HttpVersion11 = 11;
constexpr std::size_t MaxReplyBytes = 8UL << 20;
// Beast reads what the buffer holds without growing, 512 bytes at first. A body that is larger than
// the first size is read in steps of the second, so that it takes few system calls.
constexpr std::size_t SmallBodyBytes = 4UL << 10;
constexpr std::size_t LargeReadBytes = 64UL << 10;
// The line of a chunk, or the trailers, of a reply that does not end would fill the buffer.
constexpr std::size_t MaxBufferBytes = 256UL << 10;
constexpr std::uint32_t MaxReplyHeaderBytes = 16U << 10;
// A connection on which nothing comes back is noticed after about three seconds, also while a long
// poll waits.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr int UnacknowledgedTimeoutMs = 3'000;
// For a reply that has begun to arrive when the call times out.
constexpr Duration UnreadReplyTime{20'000};

void setOption(Tcp::socket &socket, int level, int name, int value)
{
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

void detectSilence(Tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedTimeoutMs);
}

HttpReply notSent(bool refused)
{
    HttpReply reply;
    reply.end = HttpCallEnd::NotSent;
    reply.refused = refused;
    return reply;
}

HttpReply noAnswer(bool disconnected)
{
    HttpReply reply;
    reply.end = HttpCallEnd::NoAnswer;
    reply.disconnected = disconnected;
    return reply;
}

} // namespace

struct HttpClient::State
{
    State(asio::io_context &io, TimerService &timerService, Tcp::endpoint address)
        : context(io)
        , timers(timerService)
        , server(std::move(address))
    {
        std::ostringstream text;
        text << server;
        host = text.str();
    }

    asio::io_context &context;
    TimerService &timers;
    const Tcp::endpoint server;
    std::string host;
    std::vector<std::shared_ptr<Connection>> idle;
    std::unordered_set<std::shared_ptr<Connection>> busy;
    bool closed = false;
};

class HttpClient::Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(std::shared_ptr<State> state)
        : m_state(std::move(state))
        , m_socket(m_state->context)
    { }

    void start(HttpCall call, Callback callback);
    void abandon();

private:
    void connect();
    void send();
    void receive();
    void receiveBody();
    void finish(HttpReply reply, bool reusable);
    void timedOut(TimePoint now);
    // Whether a part of the reply has been read, or lies unread.
    bool replyArriving();

    std::shared_ptr<State> m_state;
    Tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer{MaxBufferBytes};
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    Callback m_callback;
    TimerSubscription m_timeout;
    // When the time of the present call is over.
    TimePoint m_deadline;
    bool m_connected = false;
    // Something of the present call may have reached the server.
    bool m_sent = false;
    // Tells handlers of an earlier call from those of the present one.
    std::uint64_t m_generation = 0;
};

void HttpClient::Connection::start(HttpCall call, Callback callback)
{
    ++m_generation;
    m_callback = std::move(callback);
    m_sent = false;
    m_parser.reset();
    m_request = {};
    m_request.version(HttpVersion11);
    m_request.method_string(call.method);
    m_request.target(call.target);
    m_request.set(http::field::host, m_state->host);
    for (const auto &[name, value] : call.headers)
        m_request.set(name, value);
    if (!call.body.empty())
        m_request.set(http::field::content_type, "application/json");
    m_request.body() = std::move(call.body);
    m_request.keep_alive(true);
    m_request.prepare_payload();
    m_deadline = m_state->timers.now() + call.timeout;
    m_timeout = m_state->timers.at(m_deadline, [this](TimePoint now) { timedOut(now); });
    if (m_connected)
        send();
    else
        connect();
}

// A process that was held up finds the timeout due before it has read what arrived meanwhile.
void HttpClient::Connection::timedOut(TimePoint now)
{
    const auto self = shared_from_this();
    if (replyArriving()) {
        m_timeout = m_state->timers.at(now + UnreadReplyTime, [this](TimePoint) {
            const auto kept = shared_from_this();
            finish(noAnswer(false), false);
        });
        return;
    }
    finish(m_sent ? noAnswer(false) : notSent(false), false);
}

bool HttpClient::Connection::replyArriving()
{
    boost::system::error_code error;
    const bool begun = m_sent && m_parser && m_parser->got_some();
    return begun || (m_sent && m_socket.available(error) > 0 && !error);
}

void HttpClient::Connection::connect()
{
    m_socket.async_connect(m_state->server,
                           [self = shared_from_this(),
                            generation = m_generation](const boost::system::error_code &error) {
                               if (generation != self->m_generation || !self->m_callback)
                                   return;
                               if (error)
                                   return self->finish(
                                       notSent(error == asio::error::connection_refused), false);
                               // The process was held up meanwhile.
                               if (self->m_state->timers.now() >= self->m_deadline)
                                   return self->finish(notSent(false), false);
                               self->m_connected = true;
                               detectSilence(self->m_socket);
                               self->send();
                           });
}

void HttpClient::Connection::send()
{
    m_sent = true;
    http::async_write(m_socket, m_request,
                      [self = shared_from_this(), generation = m_generation](
                          const boost::system::error_code &error, std::size_t) {
                          if (generation != self->m_generation || !self->m_callback)
                              return;
                          if (error)
                              return self->finish(noAnswer(true), false);
                          self->receive();
                      });
}

void HttpClient::Connection::receive()
{
    m_parser.emplace();
    m_parser->body_limit(MaxReplyBytes);
    m_parser->header_limit(MaxReplyHeaderBytes);
    http::async_read_header(m_socket, m_buffer, *m_parser,
                            [self = shared_from_this(), generation = m_generation](
                                const boost::system::error_code &error, std::size_t) {
                                if (generation != self->m_generation || !self->m_callback)
                                    return;
                                if (error)
                                    return self->finish(noAnswer(true), false);
                                self->receiveBody();
                            });
}

void HttpClient::Connection::receiveBody()
{
    if (m_parser->content_length().value_or(0) > SmallBodyBytes)
        m_buffer.reserve(LargeReadBytes);
    http::async_read(m_socket, m_buffer, *m_parser,
                     [self = shared_from_this(), generation = m_generation](
                         const boost::system::error_code &error, std::size_t) {
                         if (generation != self->m_generation || !self->m_callback)
                             return;
                         if (error)
                             return self->finish(noAnswer(true), false);
                         http::response<http::string_body> message = self->m_parser->release();
                         // Connections are many, large answers are rare.
                         if (self->m_buffer.capacity() >= LargeReadBytes)
                             self->m_buffer.shrink_to_fit();
                         HttpReply reply;
                         reply.end = HttpCallEnd::Answered;
                         reply.status = message.result_int();
                         reply.body = std::move(message.body());
                         self->finish(std::move(reply), message.keep_alive());
                     });
}

void HttpClient::Connection::finish(HttpReply reply, bool reusable)
{
    const auto self = shared_from_this();
    const Callback callback = std::exchange(m_callback, nullptr);
    m_timeout.cancel();
    m_state->busy.erase(self);
    if (reusable && !m_state->closed) {
        m_state->idle.push_back(self);
    } else {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }
    if (callback && !m_state->closed)
        callback(std::move(reply));
}

void HttpClient::Connection::abandon()
{
    m_callback = nullptr;
    m_timeout.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

HttpClient::HttpClient(asio::io_context &context, TimerService &timers, Tcp::endpoint server)
    : m_state(std::make_shared<State>(context, timers, std::move(server)))
{ }

HttpClient::~HttpClient()
{
    m_state->closed = true;
    for (const auto &connection : std::exchange(m_state->busy, {}))
        connection->abandon();
    m_state->idle.clear();
}

void HttpClient::call(HttpCall call, Callback callback)
{
    std::shared_ptr<Connection> connection;
    if (!m_state->idle.empty()) {
        connection = std::move(m_state->idle.back());
        m_state->idle.pop_back();
    } else {
        connection = std::make_shared<Connection>(m_state);
    }
    m_state->busy.insert(connection);
    connection->start(std::move(call), std::move(callback));
}

const Tcp::endpoint &HttpClient::server() const
{
    return m_state->server;
}

void HttpClient::dropIdle()
{
    m_state->idle.clear();
}

} // namespace Bluebellquay
