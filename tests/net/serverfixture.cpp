#include "net/serverfixture.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <sys/socket.h>
#include <sys/time.h>

#include <chrono>
#include <utility>

namespace Bluebellquay::Testing {

using bluebellquay::v1::StatusRequest;
using bluebellquay::v1::SubmissionResponse;

namespace {

constexpr long ReceiveLimitSeconds = 10;

} // namespace

ConnectServerSettings loopbackSettings()
{
    ConnectServerSettings settings;
    settings.endpoint = {boost::asio::ip::address_v4::loopback(), 0};
    return settings;
}

ServerFixture::ServerFixture(ConnectServerSettings settings)
    : m_work(m_context.get_executor())
    , m_server(ConnectServer::create(m_context, std::move(settings)).value())
{
    m_server->handle<StatusRequest, SubmissionResponse>(
        std::string(StatusPath.substr(1)),
        [this](const StatusRequest &request, const CallContext &context, Done done) {
            ++m_calls;
            if (request.id() == "hold") {
                m_held = std::move(done);
                return;
            }
            if (request.id() == "drop")
                return;
            if (request.id() == "fail") {
                done(ConnectError{ConnectCode::NotFound, "no such \"id\""});
                return;
            }
            SubmissionResponse response;
            response.set_id(request.id());
            if (context.timeout)
                response.set_retry_after_ms(
                    static_cast<std::uint32_t>(context.timeout->count() / 1000));
            done(std::move(response));
        });
    m_server->handleGet("/ready", [] { return PlainResponse{200, "text/plain", "ok"}; });
    m_thread = std::thread([this] { m_context.run(); });
}

ServerFixture::~ServerFixture()
{
    run([this](ConnectServer &) { m_server.reset(); });
    m_work.reset();
    m_thread.join();
}

bool ServerFixture::waitForCalls(int number) const
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(ReceiveLimitSeconds);
    while (m_calls < number && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return m_calls >= number;
}

void ServerFixture::release()
{
    run([this](ConnectServer &) {
        SubmissionResponse response;
        response.set_id("released");
        std::exchange(m_held, nullptr)(std::move(response));
    });
}

void ServerFixture::run(const std::function<void(ConnectServer &)> &function)
{
    std::promise<void> ran;
    boost::asio::post(m_context, [&] {
        function(*m_server);
        ran.set_value();
    });
    ran.get_future().wait();
}

std::string RawResponse::code() const
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() ? json.value("code", "") : "";
}

RawConnection::RawConnection(unsigned short port)
    : m_socket(m_context)
{
    m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
    const timeval limit{ReceiveLimitSeconds, 0};
    setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

void RawConnection::send(std::string_view bytes)
{
    // The server may close at any time; the test sees that by what it receives.
    boost::system::error_code ignored;
    boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
}

bool RawConnection::readMore()
{
    char chunk[4096];
    const ssize_t size = recv(m_socket.native_handle(), chunk, sizeof chunk, 0);
    if (size > 0)
        m_buffer.append(chunk, static_cast<std::size_t>(size));
    m_timedOut = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return size > 0;
}

RawResponse RawConnection::receive()
{
    std::size_t headEnd = 0;
    while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore())
            return {};
    }
    RawResponse response;
    response.head = m_buffer.substr(0, headEnd + 2);
    static constexpr std::string_view Field = "\r\nContent-Length: ";
    const std::size_t field = response.head.find(Field);
    const std::size_t length =
        field == std::string::npos ? 0 : std::stoul(response.head.substr(field + Field.size()));
    while (m_buffer.size() < headEnd + 4 + length) {
        if (!readMore())
            return {};
    }
    response.body = m_buffer.substr(headEnd + 4, length);
    response.status = static_cast<unsigned>(std::stoul(response.head.substr(9, 3)));
    m_buffer.erase(0, headEnd + 4 + length);
    return response;
}

bool RawConnection::waitForClose()
{
    while (readMore()) { }
    return !m_timedOut;
}

std::string post(std::string_view path, std::string_view body, std::string_view headers,
                 std::string_view contentType)
{
    std::string request = "POST ";
    request += path;
    request += " HTTP/1.1\r\nHost: test\r\nContent-Type: ";
    request += contentType;
    request += "\r\n";
    request += headers;
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    request += body;
    return request;
}

RawResponse roundTrip(unsigned short port, std::string_view request)
{
    RawConnection connection(port);
    connection.send(request);
    return connection.receive();
}

} // namespace Bluebellquay::Testing
