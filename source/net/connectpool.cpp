#include "net/connectpool.h"

#include "net/clientconnection.h"

#include <algorithm>
#include <utility>

namespace Bluebellquay {

namespace {

constexpr std::int64_t MaxTimeoutMs = 9'999'999'999;
// A call that is written while the server closes its idle connection has an unknown outcome, so a
// connection is not used again after this time. Node's servers, for example, close after 5 s.
constexpr auto MaxIdleTime = std::chrono::seconds(4);

} // namespace

ConnectPool::ConnectPool(boost::asio::io_context &context, ConnectClientSettings settings,
                         boost::asio::ip::tcp::endpoint endpoint)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_endpoint(std::move(endpoint))
    , m_timer(context)
{
    m_headEnd = " HTTP/1.1\r\nHost: " + m_settings.address
        + "\r\nUser-Agent: bluebellquay\r\nContent-Type: "
        + std::string(mediaType(m_settings.encoding)) + "\r\nConnect-Protocol-Version: 1\r\n";
    if (!m_settings.bearerSecret.empty())
        m_headEnd += "Authorization: Bearer " + m_settings.bearerSecret + "\r\n";
}

std::string ConnectPool::encode(std::string_view method, const google::protobuf::Message &request,
                                Duration timeout) const
{
    std::string json;
    if (m_settings.encoding == ConnectEncoding::Json)
        appendConnectBody(request, ConnectEncoding::Json, json);
    const std::size_t size =
        m_settings.encoding == ConnectEncoding::Json ? json.size() : request.ByteSizeLong();
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
    std::string out;
    out.reserve(m_headEnd.size() + method.size() + size + 96);
    out += "POST /";
    out += method;
    out += m_headEnd;
    out += "Connect-Timeout-Ms: ";
    out += std::to_string(std::clamp<std::int64_t>(milliseconds, 0, MaxTimeoutMs));
    out += "\r\nContent-Length: ";
    out += std::to_string(size);
    out += "\r\n\r\n";
    if (m_settings.encoding == ConnectEncoding::Json)
        return out += json;
    const std::size_t head = out.size();
    out.resize(head + size);
    request.SerializeWithCachedSizesToArray(reinterpret_cast<std::uint8_t *>(out.data() + head));
    return out;
}

void ConnectPool::call(std::string_view method, const google::protobuf::Message &request,
                       Duration timeout, std::unique_ptr<google::protobuf::Message> response,
                       ClientCall::Done done)
{
    auto call = std::make_shared<ClientCall>();
    call->request = encode(method, request, timeout);
    call->response = std::move(response);
    call->done = std::move(done);
    // Bounded, so that a timeout meant as "none" does not overflow the clock.
    const Duration bounded = std::min<Duration>(timeout, std::chrono::milliseconds(MaxTimeoutMs));
    call->deadline = m_deadlines.emplace(Clock::now() + bounded, call);
    arm();
    if (!assign(call))
        m_waiting.push_back(std::move(call));
}

bool ConnectPool::assign(const std::shared_ptr<ClientCall> &call)
{
    while (!m_idle.empty()) {
        const Idle idle = m_idle.back();
        m_idle.pop_back();
        const auto connection = idle.connection.lock();
        if (!connection || !connection->usable())
            continue;
        if (Clock::now() - idle.since > MaxIdleTime) {
            connection->close();
            continue;
        }
        connection->send(call);
        return true;
    }
    if (m_connections.size() >= m_settings.maxConnections)
        return false;
    open(call);
    return true;
}

void ConnectPool::open(const std::shared_ptr<ClientCall> &call)
{
    const auto connection = std::make_shared<ClientConnection>(shared_from_this());
    m_connections.insert(connection);
    connection->open(call);
}

void ConnectPool::assignWaiting()
{
    while (!m_waiting.empty()) {
        // Taken out first: assign() may close a connection and so come back here.
        const auto call = m_waiting.front();
        m_waiting.pop_front();
        if (call->done && !assign(call)) {
            m_waiting.push_front(call);
            return;
        }
    }
}

void ConnectPool::connectionIdle(const std::shared_ptr<ClientConnection> &connection)
{
    if (m_closed)
        return;
    m_idle.push_back({connection, Clock::now()});
    assignWaiting();
}

void ConnectPool::connectionClosed(const std::shared_ptr<ClientConnection> &connection)
{
    m_connections.erase(connection);
    std::erase_if(m_idle, [&](const auto &idle) {
        const auto other = idle.connection.lock();
        return !other || other == connection;
    });
    if (!m_closed)
        assignWaiting();
}

// Another kept-alive connection may be closed as well, so a new one is opened, above the limit if
// need be: the closed one is about to leave the count.
void ConnectPool::repeat(const std::shared_ptr<ClientCall> &call)
{
    if (!m_closed && call->done)
        open(call);
}

void ConnectPool::finish(const std::shared_ptr<ClientCall> &call,
                         const google::protobuf::Message *response, const ConnectError &error)
{
    if (!call->done)
        return;
    const auto done = std::exchange(call->done, nullptr);
    m_deadlines.erase(call->deadline);
    done(response, error);
}

void ConnectPool::arm()
{
    if (m_deadlines.empty() || m_deadlines.begin()->first >= m_armedFor)
        return;
    m_armedFor = m_deadlines.begin()->first;
    m_timer.expires_at(m_armedFor);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error)
            return; // Replaced by an earlier deadline, or shut down.
        self->m_armedFor = Clock::time_point::max();
        self->expire();
        self->arm();
    });
}

void ConnectPool::expire()
{
    const auto now = Clock::now();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto call = m_deadlines.begin()->second;
        if (const auto connection = call->connection.lock())
            connection->abandon(call);
        finish(call, nullptr, {ConnectCode::DeadlineExceeded, "no answer within the timeout"});
    }
}

void ConnectPool::shutdown()
{
    m_closed = true;
    m_timer.cancel();
    m_waiting.clear();
    m_idle.clear();
    const auto calls = std::exchange(m_deadlines, {});
    for (const auto &entry : calls)
        entry.second->done = nullptr;
    const auto connections = std::exchange(m_connections, {});
    for (const auto &connection : connections)
        connection->close();
}

} // namespace Bluebellquay
