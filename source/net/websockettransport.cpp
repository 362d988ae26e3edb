#include "net/websockettransport.h"

#include "net/connectioncheck.h"
#include "net/websocketconfig.h"

#include <boost/asio/post.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/server.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace Bluebellquay {

namespace {

using Server = websocketpp::server<WebSocketConfig>;
using Client = websocketpp::client<WebSocketConfig>;
using RawConnection = websocketpp::connection<WebSocketConfig>;
using RawConnectionPtr = RawConnection::ptr;
namespace Frame = websocketpp::frame;

constexpr const char *AuthorizationHeader = "Authorization";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr const char *NumberHeader = "Bluebellquay-Link";
constexpr int ListenBacklog = 1024;

// Header of a whole binary frame. Clients must mask (RFC 6455), which protects caches between
// browsers and servers; peer links have none. Key zero leaves the payload as it is, so that the
// library need not copy and mask it byte by byte: that was the largest cost of full batches.
std::string frameHeader(std::size_t size, bool masked)
{
    constexpr std::uint32_t NoMask = 0;
    const Frame::basic_header basic(Frame::opcode::binary, size, true, masked);
    return Frame::prepare_header(
        basic, masked ? Frame::extended_header(size, NoMask) : Frame::extended_header(size));
}

// The secret and what connections share; outlives them.
struct Shared
{
    std::string secret;
    std::size_t maxFrameBytes;
};

class Connection final : public WebSocketConnection, public std::enable_shared_from_this<Connection>
{
public:
    Connection(RawConnectionPtr raw, std::uint64_t number)
        : m_raw(std::move(raw))
        , m_number(number)
    { }
    ~Connection() override { abandon(); }

    void setHandlers(Handlers handlers) override { m_handlers = std::move(handlers); }
    bool send(std::string_view head, std::string_view body) override;
    void ping(const std::string &payload) override;
    std::size_t unsentBytes() const override { return m_raw->get_buffered_amount(); }
    void close() override;
    void abandon() override;
    std::uint64_t number() const override { return m_number; }
    std::string remoteAddress() const override;

    // Installs the handlers of the raw connection; they hold this object weakly, because the
    // library keeps a connection until its last operation has ended.
    void attach();
    // Checks the upgrade request of an accepted connection.
    bool validate(const Shared &shared);

private:
    void onClosed(LinkEnd end);
    LinkEnd endOfOpenConnection() const;
    LinkEnd endOfFailedUpgrade() const;
    void closeSocket();

    RawConnectionPtr m_raw;
    std::uint64_t m_number;
    Handlers m_handlers;
    std::optional<LinkEnd> m_localEnd; // decided here before the library reports the end
    bool m_ended = false;
};

bool Connection::send(std::string_view head, std::string_view body)
{
    if (m_ended || m_raw->get_state() != websocketpp::session::state::open)
        return false;
    const std::size_t size = head.size() + body.size();
    const auto message = m_raw->get_message(Frame::opcode::binary, size);
    message->get_raw_payload().append(head).append(body);
    message->set_header(frameHeader(size, !m_raw->is_server()));
    message->set_prepared(true);
    return !m_raw->send(message);
}

void Connection::ping(const std::string &payload)
{
    websocketpp::lib::error_code error;
    if (!m_ended)
        m_raw->ping(payload, error);
}

void Connection::close()
{
    websocketpp::lib::error_code error;
    if (!m_ended)
        m_raw->close(websocketpp::close::status::going_away, "", error);
}

void Connection::abandon()
{
    if (m_ended)
        return;
    m_ended = true;
    m_raw->terminate(websocketpp::error::make_error_code(websocketpp::error::general));
    closeSocket();
}

void Connection::closeSocket()
{
    boost::system::error_code ignored;
    m_raw->get_raw_socket().close(ignored);
}

std::string Connection::remoteAddress() const
{
    boost::system::error_code error;
    const auto remote = m_raw->get_raw_socket().remote_endpoint(error);
    return error ? std::string()
                 : remote.address().to_string() + ":" + std::to_string(remote.port());
}

void Connection::attach()
{
    const std::weak_ptr<Connection> weak = weak_from_this();
    m_raw->set_open_handler([weak, raw = m_raw.get()](const websocketpp::connection_hdl &) {
        const auto self = weak.lock();
        if (!self || self->m_ended) {
            // The library completes a dial even if it was terminated while resolving the address.
            boost::system::error_code ignored;
            raw->get_raw_socket().close(ignored);
            return;
        }
        if (self->m_handlers.opened)
            self->m_handlers.opened();
    });
    m_raw->set_fail_handler([weak](const websocketpp::connection_hdl &) {
        if (const auto self = weak.lock())
            self->onClosed(self->endOfFailedUpgrade());
    });
    m_raw->set_close_handler([weak](const websocketpp::connection_hdl &) {
        if (const auto self = weak.lock())
            self->onClosed(self->endOfOpenConnection());
    });
    m_raw->set_message_handler(
        [weak](const websocketpp::connection_hdl &, const RawConnection::message_ptr &message) {
            const auto self = weak.lock();
            if (!self || self->m_ended)
                return;
            if (message->get_opcode() != Frame::opcode::binary) {
                self->m_raw->terminate(
                    websocketpp::error::make_error_code(websocketpp::error::invalid_state));
                self->m_localEnd = LinkEnd::ProtocolError;
                return;
            }
            if (self->m_handlers.received)
                self->m_handlers.received(message->get_payload());
        });
    m_raw->set_pong_handler(
        [weak](const websocketpp::connection_hdl &, const std::string &payload) {
            const auto self = weak.lock();
            if (self && !self->m_ended && self->m_handlers.pong)
                self->m_handlers.pong(payload);
        });
}

bool Connection::validate(const Shared &shared)
{
    const std::string &authorization = m_raw->get_request_header(AuthorizationHeader);
    if (!equalInConstantTime(authorization, std::string(BearerPrefix) + shared.secret)) {
        m_raw->set_status(websocketpp::http::status_code::unauthorized);
        m_localEnd = LinkEnd::WrongSecret;
        return false;
    }
    const std::string &number = m_raw->get_request_header(NumberHeader);
    const auto [end, error] =
        std::from_chars(number.data(), number.data() + number.size(), m_number);
    if (error != std::errc() || end != number.data() + number.size()) {
        m_raw->set_status(websocketpp::http::status_code::bad_request);
        m_localEnd = LinkEnd::ProtocolError;
        return false;
    }
    return true;
}

void Connection::onClosed(LinkEnd end)
{
    if (m_ended)
        return;
    m_ended = true;
    const auto self = shared_from_this();
    if (m_handlers.closed)
        m_handlers.closed(m_localEnd.value_or(end), m_raw->get_ec().message());
}

LinkEnd Connection::endOfFailedUpgrade() const
{
    if (m_raw->get_response_code() == websocketpp::http::status_code::uninitialized
        && m_raw->get_ec() != websocketpp::processor::error::invalid_http_status)
        return LinkEnd::ConnectFailed;
    return LinkEnd::UpgradeRejected;
}

LinkEnd Connection::endOfOpenConnection() const
{
    namespace Status = websocketpp::close::status;
    if (m_raw->get_local_close_code() == Status::message_too_big
        || m_raw->get_ec() == websocketpp::processor::error::message_too_big)
        return LinkEnd::FrameTooLarge;
    if (m_raw->get_ec().category() == websocketpp::processor::error::get_processor_category())
        return LinkEnd::ProtocolError;
    if (m_raw->get_remote_close_code() == Status::no_status
        || m_raw->get_remote_close_code() == Status::abnormal_close)
        return LinkEnd::Lost;
    return LinkEnd::PeerClosed;
}

void setNoDelay(RawConnection &raw)
{
    boost::system::error_code ignored;
    raw.get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

} // namespace

class WebSocketTransport::Endpoints : public std::enable_shared_from_this<Endpoints>
{
public:
    Endpoints(WebSocketTransportSettings settings, AcceptHandler accepted)
        : m_settings(std::move(settings))
        , m_shared{m_settings.secret, m_settings.maxFrameBytes}
        , m_accepted(std::move(accepted))
    { }

    boost::leaf::result<void> listen(boost::asio::io_context &context);
    std::shared_ptr<WebSocketConnection> dial(const std::string &address, std::uint64_t number);
    unsigned short port();
    void stopListening();
    // Stops listening; connections accepted meanwhile are dropped.
    void shutDown();

private:
    void onAccepted(const websocketpp::connection_hdl &handle);

    WebSocketTransportSettings m_settings;
    Shared m_shared;
    AcceptHandler m_accepted;
    Server m_server;
    Client m_client;
};

boost::leaf::result<void> WebSocketTransport::Endpoints::listen(boost::asio::io_context &context)
{
    websocketpp::lib::error_code error;
    m_client.init_asio(&context, error);
    if (!error)
        m_server.init_asio(&context, error);
    m_client.set_max_message_size(m_settings.maxFrameBytes);
    m_server.set_max_message_size(m_settings.maxFrameBytes);
    m_server.set_reuse_addr(true);
    m_server.set_listen_backlog(ListenBacklog);
    m_server.set_tcp_post_init_handler(
        [this](const websocketpp::connection_hdl &handle) { onAccepted(handle); });
    if (!error)
        m_server.listen(m_settings.endpoint, error);
    if (!error)
        m_server.start_accept(error);
    if (error)
        return boost::leaf::new_error(TransportError{error.message()});
    return {};
}

void WebSocketTransport::Endpoints::onAccepted(const websocketpp::connection_hdl &handle)
{
    websocketpp::lib::error_code error;
    const RawConnectionPtr raw = m_server.get_con_from_hdl(handle, error);
    if (error)
        return;
    setNoDelay(*raw);
    const auto connection = std::make_shared<Connection>(raw, 0);
    connection->attach();
    raw->set_validate_handler(
        [weak = std::weak_ptr(connection), this](const websocketpp::connection_hdl &) {
            const auto self = weak.lock();
            return self && self->validate(m_shared);
        });
    if (m_accepted)
        m_accepted(connection);
}

std::shared_ptr<WebSocketConnection> WebSocketTransport::Endpoints::dial(const std::string &address,
                                                                         std::uint64_t number)
{
    if (!isAddress(address))
        return nullptr;
    websocketpp::lib::error_code error;
    const RawConnectionPtr raw = m_client.get_connection("ws://" + address + "/", error);
    if (error)
        return nullptr;
    raw->append_header(AuthorizationHeader, std::string(BearerPrefix) + m_shared.secret);
    raw->append_header(NumberHeader, std::to_string(number));
    raw->set_tcp_post_init_handler(
        [raw = raw.get()](const websocketpp::connection_hdl &) { setNoDelay(*raw); });
    const auto connection = std::make_shared<Connection>(raw, number);
    connection->attach();
    m_client.connect(raw);
    return connection;
}

unsigned short WebSocketTransport::Endpoints::port()
{
    boost::system::error_code error;
    const auto local = m_server.get_local_endpoint(error);
    return error ? 0 : local.port();
}

void WebSocketTransport::Endpoints::stopListening()
{
    websocketpp::lib::error_code ignored;
    if (m_server.is_listening())
        m_server.stop_listening(ignored);
}

void WebSocketTransport::Endpoints::shutDown()
{
    m_accepted = nullptr;
    stopListening();
}

WebSocketTransport::WebSocketTransport(boost::asio::io_context &context,
                                       std::shared_ptr<Endpoints> endpoints)
    : m_context(context)
    , m_endpoints(std::move(endpoints))
{ }

WebSocketTransport::~WebSocketTransport()
{
    m_endpoints->shutDown();
    // The library's accept operation refers to its endpoint until it has been cancelled.
    boost::asio::post(m_context, [endpoints = m_endpoints] {});
}

boost::leaf::result<std::unique_ptr<WebSocketTransport>>
WebSocketTransport::create(boost::asio::io_context &context, WebSocketTransportSettings settings,
                           AcceptHandler accepted)
{
    if (!usableSecret(settings.secret))
        return boost::leaf::new_error(
            TransportError{"the peer secret must be printable ASCII without spaces"});
    auto endpoints = std::make_shared<Endpoints>(std::move(settings), std::move(accepted));
    BOOST_LEAF_CHECK(endpoints->listen(context));
    return std::unique_ptr<WebSocketTransport>(
        new WebSocketTransport(context, std::move(endpoints)));
}

std::shared_ptr<WebSocketConnection> WebSocketTransport::dial(const std::string &address,
                                                              std::uint64_t number)
{
    return m_endpoints->dial(address, number);
}

unsigned short WebSocketTransport::port() const
{
    return m_endpoints->port();
}

void WebSocketTransport::stopListening()
{
    m_endpoints->stopListening();
}

} // namespace Bluebellquay
