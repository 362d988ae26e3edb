#include "net/connectsession.h"

#include "net/connectheaders.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <cerrno>
#include <utility>

#include <sys/socket.h>

namespace Bluebellquay {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t MaxHeaderBytes = 16U * 1024;
constexpr std::size_t HeaderReadBytes = 4UL * 1024;
constexpr std::size_t BodyReadBytes = 64UL * 1024;
// Buffers above this size are released between requests, so that many connections that once
// carried a large message don't hold its memory.
constexpr std::size_t MaxKeptBytes = 16UL * 1024;
// What a peer may still send, and for how long, after the last answer on its connection.
constexpr std::size_t MaxDrainedBytes = 1024UL * 1024;
constexpr auto DrainTimeout = std::chrono::seconds(2);

} // namespace

class ConnectServer::Session::Completion
{
public:
    Completion(std::weak_ptr<Session> session, std::uint64_t call)
        : m_session(std::move(session))
        , m_call(call)
    { }
    Completion(const Completion &) = delete;
    Completion &operator=(const Completion &) = delete;
    ~Completion()
    {
        if (!m_completed)
            complete(nullptr, {ConnectCode::Internal, "the call ended without an answer"});
    }

    void complete(const google::protobuf::Message *response, const ConnectError &error)
    {
        m_completed = true;
        if (const auto session = m_session.lock())
            session->complete(m_call, response, error);
    }

private:
    std::weak_ptr<Session> m_session;
    std::uint64_t m_call;
    bool m_completed = false;
};

ConnectServer::Session::Session(std::shared_ptr<Listener> listener, ServerSocket socket,
                                bool reject)
    : m_listener(std::move(listener))
    , m_socket(std::move(socket))
    , m_reject(reject)
{ }

void ConnectServer::Session::start()
{
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    beginRequest();
    m_deadline = Clock::now() + m_listener->settings().requestTimeout;
    read();
}

void ConnectServer::Session::close()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_listener->remove(shared_from_this());
}

void ConnectServer::Session::closeIfIdle()
{
    m_closeAfterAnswer = true;
    boost::system::error_code ignored;
    if (m_state == State::Idle && m_socket.available(ignored) == 0)
        close();
}

// Nothing reads while a call is in progress, so the end of the connection is looked for.
bool ConnectServer::Session::callerLeft()
{
    if (m_state != State::Calling)
        return false;
    char byte = 0;
    const auto size = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
}

void ConnectServer::Session::abandonCall()
{
    const std::function<void()> callerLeft = std::exchange(m_callerLeft, nullptr);
    close();
    if (callerLeft)
        callerLeft();
}

void ConnectServer::Session::beginRequest()
{
    m_request.clear();
    m_parser.emplace(m_request);
    m_parser->body_limit(m_listener->settings().maxBodyBytes);
    m_parser->header_limit(MaxHeaderBytes);
    m_parser->eager(true);
    m_continueSent = false;
    m_state = State::Idle;
}

void ConnectServer::Session::read()
{
    const bool inBody = m_parser && m_parser->is_header_done();
    m_socket.async_read_some(
        m_buffer.prepare(inBody ? BodyReadBytes : HeaderReadBytes),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            self->onRead(error, size);
        });
}

void ConnectServer::Session::onRead(const boost::system::error_code &error, std::size_t size)
{
    if (m_state == State::Closed)
        return;
    if (error) {
        close();
        return;
    }
    if (m_state == State::Draining) {
        m_drained += size;
        drain();
        return;
    }
    m_buffer.commit(size);
    parse();
}

void ConnectServer::Session::parse()
{
    if (m_state == State::Idle) {
        m_state = State::Reading;
        m_deadline = Clock::now() + m_listener->settings().requestTimeout;
    }
    boost::system::error_code error;
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        const std::size_t used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        if (error || used == 0)
            break;
    }
    if (error && error != http::error::need_more) {
        rejectMalformed(error);
        return;
    }
    if (m_parser->is_done()) {
        dispatch();
        return;
    }
    // The parser takes the line of a chunk, and all trailers, only when they are whole.
    if (m_buffer.size() > MaxHeaderBytes) {
        rejectMalformed(http::error::header_limit);
        return;
    }
    if (m_parser->is_header_done() && !m_continueSent && m_request.expectsContinue)
        sendContinue();
    else
        read();
}

void ConnectServer::Session::sendContinue()
{
    m_continueSent = true;
    static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(
        m_socket, boost::asio::buffer(Continue),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            if (self->m_state == State::Closed)
                return;
            if (error)
                self->close();
            else
                self->read();
        });
}

void ConnectServer::Session::rejectMalformed(const boost::system::error_code &error)
{
    m_closeAfterAnswer = true;
    if (error == http::error::body_limit) {
        answerError({ConnectCode::ResourceExhausted,
                     "the body is larger than "
                         + std::to_string(m_listener->settings().maxBodyBytes) + " bytes"});
        return;
    }
    const unsigned status = error == http::error::header_limit ? 431 : 400;
    answer(status, "text/plain; charset=utf-8", error.message() + "\n");
}

void ConnectServer::Session::dispatch()
{
    if (!m_parser->keep_alive() || !m_request.http11 || m_listener->stopping())
        m_closeAfterAnswer = true;
    if (m_reject) {
        m_closeAfterAnswer = true;
        answerError({ConnectCode::Unavailable, "too many connections"});
        return;
    }
    const std::string_view path = m_request.path();
    if (m_request.method == http::verb::get)
        dispatchGet(path);
    else
        dispatchCall(path);
}

void ConnectServer::Session::dispatchGet(std::string_view path)
{
    if (const auto *handler = m_listener->findGet(path)) {
        const PlainResponse response = (*handler)();
        answer(response.status, response.contentType, response.body);
        return;
    }
    if (m_listener->findMethod(path) != nullptr)
        answer(405, {}, {}, "Allow: POST\r\n");
    else
        answer(404, "text/plain; charset=utf-8", "not found\n");
}

void ConnectServer::Session::dispatchCall(std::string_view path)
{
    const Method *method = m_listener->findMethod(path);
    if (method == nullptr && m_listener->findGet(path) != nullptr) {
        answer(405, {}, {}, "Allow: GET\r\n");
        return;
    }
    if (m_request.method != http::verb::post) {
        answer(405, {}, {}, "Allow: POST\r\n");
        return;
    }
    if (method == nullptr) {
        answerError({ConnectCode::Unimplemented, "unknown method"}, 404);
        return;
    }
    const auto encoding = connectEncodingOf(m_request.contentType);
    if (!encoding) {
        answer(415, {}, {}, "Accept-Post: application/proto, application/json\r\n");
        return;
    }
    m_encoding = *encoding;
    CallContext context;
    context.callerLeft = &m_callerLeft;
    if (const auto error =
            checkConnectHeaders(m_request, m_listener->settings().bearerSecret, context))
        answerError(*error);
    else
        invoke(*method, context);
}

void ConnectServer::Session::invoke(const Method &method, const CallContext &context)
{
    const auto request = method.newRequest();
    if (const auto problem = decodeConnectBody(m_request.body, m_encoding, *request)) {
        answerError({ConnectCode::InvalidArgument, *problem});
        return;
    }
    m_state = State::Calling;
    m_deadline = Clock::time_point::max();
    m_callerLeft = nullptr;
    const auto completion = std::make_shared<Completion>(weak_from_this(), ++m_call);
    method.invoke(
        *request, context,
        [completion](const google::protobuf::Message *response, const ConnectError &error) {
            completion->complete(response, error);
        });
}

void ConnectServer::Session::complete(std::uint64_t call, const google::protobuf::Message *response,
                                      const ConnectError &error)
{
    if (m_state != State::Calling || call != m_call)
        return;
    if (response != nullptr)
        answerMessage(*response);
    else
        answerError(error);
}

void ConnectServer::Session::answerMessage(const google::protobuf::Message &response)
{
    if (m_encoding == ConnectEncoding::Proto) {
        // The size is needed for the head and kept by the message for the serialisation.
        const std::size_t size = response.ByteSizeLong();
        appendHead(200, mediaType(m_encoding), size);
        const std::size_t headSize = m_out.size();
        m_out.resize(headSize + size);
        response.SerializeWithCachedSizesToArray(
            reinterpret_cast<std::uint8_t *>(m_out.data() + headSize));
        write();
        return;
    }
    std::string body;
    if (appendConnectBody(response, m_encoding, body))
        answer(200, mediaType(m_encoding), body);
    else
        answerError({ConnectCode::Internal, "the response has no JSON form"});
}

void ConnectServer::Session::answerError(const ConnectError &error)
{
    answerError(error, httpStatus(error.code));
}

void ConnectServer::Session::answerError(const ConnectError &error, unsigned status)
{
    answer(status, mediaType(ConnectEncoding::Json), encodeConnectError(error));
}

void ConnectServer::Session::answer(unsigned status, std::string_view contentType,
                                    std::string_view body, std::string_view extraHeaders)
{
    appendHead(status, contentType, body.size(), extraHeaders);
    m_out += body;
    write();
}

void ConnectServer::Session::appendHead(unsigned status, std::string_view contentType,
                                        std::size_t bodySize, std::string_view extraHeaders)
{
    if (m_listener->stopping())
        m_closeAfterAnswer = true;
    appendResponseHead(m_out, {status, contentType, bodySize, extraHeaders, m_closeAfterAnswer});
}

void ConnectServer::Session::write()
{
    m_state = State::Writing;
    m_deadline = Clock::now() + m_listener->settings().requestTimeout;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_out),
                             [self = shared_from_this()](const boost::system::error_code &error,
                                                         std::size_t) { self->onWritten(error); });
}

// Runs from the event loop, so that pipelined requests don't nest calls.
void ConnectServer::Session::onWritten(const boost::system::error_code &error)
{
    if (m_state == State::Closed)
        return;
    if (error) {
        close();
        return;
    }
    m_out.clear();
    if (m_out.capacity() > MaxKeptBytes)
        m_out.shrink_to_fit();
    if (m_closeAfterAnswer) {
        boost::system::error_code ignored;
        m_socket.shutdown(ServerSocket::shutdown_send, ignored);
        m_state = State::Draining;
        m_deadline = Clock::now() + DrainTimeout;
        drain();
        return;
    }
    beginRequest();
    if (m_buffer.size() > 0) {
        parse();
        return;
    }
    if (m_buffer.capacity() > MaxKeptBytes)
        m_buffer.shrink_to_fit();
    m_deadline = Clock::now() + m_listener->settings().idleTimeout;
    read();
}

// Closing a socket with unread bytes resets the connection, and the peer may lose the answer.
void ConnectServer::Session::drain()
{
    if (m_drained > MaxDrainedBytes) {
        close();
        return;
    }
    m_buffer.clear();
    read();
}

} // namespace Bluebellquay
