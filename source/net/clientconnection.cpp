#include "net/clientconnection.h"

#include "net/connectmessage.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace Bluebellquay {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t ReadBytes = 16UL * 1024;
// Buffers above this size are released between calls.
constexpr std::size_t MaxKeptBytes = 64UL * 1024;

} // namespace

ClientConnection::ClientConnection(std::shared_ptr<ConnectPool> pool)
    : m_pool(std::move(pool))
    , m_socket(m_pool->context())
{ }

void ClientConnection::open(const std::shared_ptr<ClientCall> &call)
{
    m_call = call;
    call->connection = weak_from_this();
    m_socket.async_connect(
        m_pool->endpoint(), [self = shared_from_this()](const boost::system::error_code &error) {
            if (!self->m_call)
                return; // Given up meanwhile.
            if (error) {
                self->failed(error.message());
                return;
            }
            boost::system::error_code ignored;
            self->m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            self->m_open = true;
            self->read();
            self->write();
        });
}

void ClientConnection::send(const std::shared_ptr<ClientCall> &call)
{
    m_call = call;
    call->connection = weak_from_this();
    write();
}

void ClientConnection::write()
{
    m_parser.emplace();
    m_parser->body_limit(m_pool->maxBodyBytes());
    m_parser->eager(true);
    m_written = false;
    m_writing = true;
    m_out = std::move(m_call->request);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_out),
                             [self = shared_from_this()](const boost::system::error_code &error,
                                                         std::size_t) { self->onWritten(error); });
}

void ClientConnection::onWritten(const boost::system::error_code &error)
{
    m_writing = false;
    m_written = !error;
    if (!m_call) {
        // The answer came before the write was reported.
        if (m_open && !error)
            m_pool->connectionIdle(shared_from_this());
        else if (m_open)
            close();
        return;
    }
    if (error)
        failed(error.message());
    else if (!m_failure.empty())
        failed(m_failure);
}

void ClientConnection::read()
{
    m_socket.async_read_some(
        m_buffer.prepare(ReadBytes),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            self->onRead(error, size);
        });
}

void ClientConnection::onRead(const boost::system::error_code &error, std::size_t size)
{
    if (!m_open)
        return;
    if (error) {
        failed(error.message());
        return;
    }
    m_buffer.commit(size);
    if (!m_call) {
        close(); // Bytes that answer no call.
        return;
    }
    parse();
}

void ClientConnection::parse()
{
    boost::system::error_code error;
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        const std::size_t used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        if (error || used == 0)
            break;
        // An interim response, for example 100 Continue, precedes the real one.
        if (m_parser->is_done() && m_parser->get().result_int() / 100 == 1) {
            m_parser.emplace();
            m_parser->body_limit(m_pool->maxBodyBytes());
            m_parser->eager(true);
        }
    }
    if (error && error != http::error::need_more)
        failed(error.message());
    else if (m_parser->is_done())
        deliver();
    else
        read();
}

void ClientConnection::deliver()
{
    const auto call = std::exchange(m_call, nullptr);
    const http::response<http::string_body> response = m_parser->release();
    // Bytes after the answer belong to no call.
    const bool keep = response.keep_alive() && m_buffer.size() == 0;
    m_used = true;
    if (m_buffer.capacity() > MaxKeptBytes)
        m_buffer.shrink_to_fit();
    if (keep)
        read();
    else
        close();
    if (keep && !m_writing)
        m_pool->connectionIdle(shared_from_this());
    const auto pool = m_pool;
    if (response.result_int() != 200) {
        ConnectError error = decodeConnectError(response.body(), response.result_int());
        error.fromPeer = true;
        pool->finish(call, nullptr, error);
        return;
    }
    // A broken answer says nothing about what the server did, so its code is unknown.
    const ConnectEncoding encoding = pool->encoding();
    if (connectEncodingOf(response[http::field::content_type]) != encoding)
        pool->finish(
            call, nullptr,
            {ConnectCode::Unknown, "the answer is not " + std::string(mediaType(encoding))});
    else if (decodeConnectBody(response.body(), encoding, *call->response))
        pool->finish(call, nullptr, {ConnectCode::Unknown, "the answer can't be decoded"});
    else
        pool->finish(call, call->response.get(), {});
}

void ClientConnection::failed(const std::string &reason)
{
    if (m_writing) {
        // Closing ends the write; only its result says whether the request was written whole.
        m_failure = reason;
        boost::system::error_code ignored;
        m_open = false;
        m_socket.close(ignored);
        return;
    }
    const auto call = std::exchange(m_call, nullptr);
    const bool repeatable = m_used && !m_written;
    const auto pool = m_pool;
    if (call && repeatable) {
        call->request = std::move(m_out);
        pool->repeat(call);
    }
    close();
    if (!call || repeatable)
        return;
    const ConnectCode code = m_written ? ConnectCode::Unknown : ConnectCode::Unavailable;
    ConnectError error{code, "connection failed: " + reason};
    error.requestSent = m_written;
    pool->finish(call, nullptr, error);
}

void ClientConnection::abandon(const std::shared_ptr<ClientCall> &call)
{
    if (m_call != call)
        return;
    m_call = nullptr;
    close();
}

void ClientConnection::close()
{
    m_open = false;
    m_call = nullptr;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_pool->connectionClosed(shared_from_this());
}

} // namespace Bluebellquay
