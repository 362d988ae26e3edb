// Relays TCP connections from one loopback port to another and injects faults into them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <vector>

namespace Bluebellquay::Testing {

// Up is from the side that connects to the relay to the target.
enum class RelayDirection { Up, Down, Both };

class FaultRelay : public std::enable_shared_from_this<FaultRelay>
{
public:
    // Listens on 127.0.0.1; port 0 takes a free one. Throws boost::system::system_error.
    static std::shared_ptr<FaultRelay> create(boost::asio::io_context &context,
                                              unsigned short listenPort, unsigned short targetPort);
    FaultRelay(boost::asio::io_context &context, unsigned short listenPort,
               unsigned short targetPort);

    unsigned short port() const { return m_port; }
    // Where new connections go, for example after the target has restarted.
    void setTarget(unsigned short targetPort) { m_targetPort = targetPort; }
    std::size_t connections() const;

    // Ends cut, stall and delay. Connections that were silenced stay silent.
    void pass();
    // Resets all connections, and new ones at once, until pass().
    void cut();
    // Relays nothing on any connection, old or new, until pass(); nothing is lost.
    void stall();
    // The connections that are open now lose all further bytes, and the end of the connection, in
    // this direction for good. New connections work.
    void silence(RelayDirection direction);
    // Delays all bytes in both directions by this time.
    void delay(std::chrono::milliseconds time) { m_delay = time; }
    // Each open connection passes half of the next chunk of bytes, whatever its direction, and is
    // then reset on both sides.
    void resetInFrame();
    void stop();

private:
    class Connection;
    friend class Connection;

    void accept();

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    unsigned short m_port;
    unsigned short m_targetPort;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::chrono::milliseconds m_delay{0};
    bool m_cut = false;
    bool m_stalled = false;
};

} // namespace Bluebellquay::Testing
