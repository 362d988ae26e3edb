#include "net/rawpeer.h"

#include "net/messagecodec.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/field.hpp>

namespace Bluebellquay::Testing {

namespace {

using boost::system::error_code;
namespace WebSocket = boost::beast::websocket;

} // namespace

void RawPeer::connect(unsigned short port)
{
    m_stream.next_layer().connect({boost::asio::ip::address_v4::loopback(), port});
}

void RawPeer::upgrade(unsigned short port, const std::string &secret)
{
    connect(port);
    m_stream.set_option(
        WebSocket::stream_base::decorator([secret](WebSocket::request_type &request) {
            request.set(boost::beast::http::field::authorization, "Bearer " + secret);
            request.set("Bluebellquay-Link", "1");
        }));
    m_stream.async_handshake("127.0.0.1", "/",
                             [self = shared_from_this()](const error_code &error) {
                                 self->m_upgraded = !error;
                                 self->m_closed = static_cast<bool>(error);
                             });
}

void RawPeer::read()
{
    m_stream.async_read(
        m_buffer, [self = shared_from_this()](const error_code &error, std::size_t) {
            if (error) {
                self->m_closed = true;
                return;
            }
            self->m_frames.push_back(boost::beast::buffers_to_string(self->m_buffer.data()));
            self->m_buffer.clear();
            self->read();
        });
}

void RawPeer::sendFrame(const std::string &bytes, bool binary)
{
    error_code ignored;
    m_stream.binary(binary);
    m_stream.write(boost::asio::buffer(bytes), ignored);
}

void RawPeer::sendRaw(const std::string &bytes)
{
    error_code ignored;
    boost::asio::write(m_stream.next_layer(), boost::asio::buffer(bytes), ignored);
}

std::string helloFrame(std::uint64_t incarnation)
{
    Hello hello;
    hello.sender.incarnation = Incarnation(incarnation);
    return encodeFrame(1, {hello});
}

} // namespace Bluebellquay::Testing
