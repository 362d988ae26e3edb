// A WebSocket client by Boost.Beast, so that tests can send what a PeerNode never would.
#pragma once

#include "base/messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/websocket/stream.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Bluebellquay::Testing {

class RawPeer : public std::enable_shared_from_this<RawPeer>
{
public:
    static std::shared_ptr<RawPeer> create(boost::asio::io_context &context)
    {
        return std::make_shared<RawPeer>(context);
    }
    explicit RawPeer(boost::asio::io_context &context)
        : m_stream(context)
    { }

    // Connects by TCP only.
    void connect(unsigned short port);
    // Connects and upgrades with this bearer token.
    void upgrade(unsigned short port, const std::string &secret);
    // Starts to read frames; without it this peer never reads.
    void read();
    void sendFrame(const std::string &bytes, bool binary = true);
    // Bytes without WebSocket framing.
    void sendRaw(const std::string &bytes);

    bool upgraded() const { return m_upgraded; }
    bool closed() const { return m_closed; }
    const std::vector<std::string> &frames() const { return m_frames; }

private:
    boost::beast::websocket::stream<boost::asio::ip::tcp::socket> m_stream;
    boost::beast::flat_buffer m_buffer;
    std::vector<std::string> m_frames;
    bool m_upgraded = false;
    bool m_closed = false;
};

// First frame of a peer with this incarnation.
std::string helloFrame(std::uint64_t incarnation);

} // namespace Bluebellquay::Testing
