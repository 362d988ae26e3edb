#include "standins/faultrelay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <string>
#include <utility>

namespace Bluebellquay::Testing {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr std::size_t ChunkBytes = 16UL * 1024;
// A direction reads no further while this much waits to be written.
constexpr std::size_t MaxQueuedBytes = 1024UL * 1024;
// Time for the half chunk to arrive before the reset, which would discard it.
constexpr std::chrono::milliseconds ResetDelay{20};

tcp::endpoint loopback(unsigned short port)
{
    return {boost::asio::ip::address_v4::loopback(), port};
}

// Closes with a reset instead of an orderly end.
void resetSocket(tcp::socket &socket)
{
    error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

// One relayed connection: two sockets and a pump for each direction.
class FaultRelay::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<FaultRelay> relay, tcp::socket client)
        : m_relay(std::move(relay))
        , m_client(std::move(client))
        , m_target(m_relay->m_context)
        , m_resetTimer(m_relay->m_context)
        , m_up(m_client, m_target)
        , m_down(m_target, m_client)
    { }

    void start();
    void reset();
    void silence(RelayDirection direction);
    void resetInFrame() { m_resetInFrame = true; }
    // Takes up what a stall or delay held back.
    void resume();

private:
    struct Pump
    {
        Pump(tcp::socket &fromSocket, tcp::socket &toSocket)
            : from(fromSocket)
            , to(toSocket)
            , timer(toSocket.get_executor())
        { }

        tcp::socket &from;
        tcp::socket &to;
        boost::asio::steady_timer timer;
        std::array<char, ChunkBytes> buffer{};
        // Chunks with the time at which they may be written.
        std::deque<std::pair<Clock::time_point, std::string>> queue;
        std::size_t queuedBytes = 0;
        bool reading = false;
        bool writing = false;
        bool ended = false; // the end of the stream was read
        bool silenced = false;
    };

    void read(Pump &pump);
    void onRead(Pump &pump, const error_code &error, std::size_t bytes);
    void write(Pump &pump);
    void onEnd(Pump &pump);
    void breakInFrame(Pump &pump, std::size_t bytes);

    std::shared_ptr<FaultRelay> m_relay;
    tcp::socket m_client;
    tcp::socket m_target;
    boost::asio::steady_timer m_resetTimer;
    Pump m_up;
    Pump m_down;
    bool m_resetInFrame = false;
    bool m_closed = false;
};

void FaultRelay::Connection::start()
{
    m_target.async_connect(loopback(m_relay->m_targetPort),
                           [self = shared_from_this()](const error_code &error) {
                               if (self->m_closed)
                                   return;
                               if (error) {
                                   self->reset();
                                   return;
                               }
                               error_code ignored;
                               self->m_client.set_option(tcp::no_delay(true), ignored);
                               self->m_target.set_option(tcp::no_delay(true), ignored);
                               self->read(self->m_up);
                               self->read(self->m_down);
                           });
}

void FaultRelay::Connection::reset()
{
    if (m_closed)
        return;
    m_closed = true;
    m_up.timer.cancel();
    m_down.timer.cancel();
    m_resetTimer.cancel();
    resetSocket(m_client);
    resetSocket(m_target);
}

void FaultRelay::Connection::silence(RelayDirection direction)
{
    m_up.silenced |= direction != RelayDirection::Down;
    m_down.silenced |= direction != RelayDirection::Up;
}

void FaultRelay::Connection::resume()
{
    for (Pump *pump : {&m_up, &m_down}) {
        pump->timer.cancel();
        write(*pump);
    }
}

void FaultRelay::Connection::read(Pump &pump)
{
    if (m_closed || pump.reading || pump.ended || pump.queuedBytes >= MaxQueuedBytes)
        return;
    pump.reading = true;
    pump.from.async_read_some(
        boost::asio::buffer(pump.buffer),
        [self = shared_from_this(), &pump](const error_code &error, std::size_t bytes) {
            pump.reading = false;
            if (!self->m_closed)
                self->onRead(pump, error, bytes);
        });
}

void FaultRelay::Connection::onRead(Pump &pump, const error_code &error, std::size_t bytes)
{
    if (error) {
        // A reset passes on as a reset, unless this direction is silent.
        if (error != boost::asio::error::eof && !pump.silenced) {
            reset();
            return;
        }
        pump.ended = true;
        write(pump);
        onEnd(pump);
        return;
    }
    if (m_resetInFrame && bytes > 1 && !pump.silenced) {
        breakInFrame(pump, bytes);
        return;
    }
    if (!pump.silenced) {
        pump.queue.emplace_back(Clock::now() + m_relay->m_delay,
                                std::string(pump.buffer.data(), bytes));
        pump.queuedBytes += bytes;
        write(pump);
    }
    read(pump);
}

void FaultRelay::Connection::write(Pump &pump)
{
    if (m_closed || pump.writing || m_relay->m_stalled)
        return;
    if (pump.silenced) {
        pump.queue.clear();
        pump.queuedBytes = 0;
        return;
    }
    if (pump.queue.empty()) {
        onEnd(pump);
        return;
    }
    pump.writing = true;
    pump.timer.expires_at(pump.queue.front().first);
    pump.timer.async_wait([self = shared_from_this(), &pump](const error_code &) {
        pump.writing = false;
        if (self->m_closed || self->m_relay->m_stalled || pump.silenced || pump.queue.empty())
            return;
        pump.writing = true;
        boost::asio::async_write(pump.to, boost::asio::buffer(pump.queue.front().second),
                                 [self, &pump](const error_code &error, std::size_t bytes) {
                                     pump.writing = false;
                                     if (self->m_closed)
                                         return;
                                     if (error) {
                                         self->reset();
                                         return;
                                     }
                                     pump.queuedBytes -= bytes;
                                     pump.queue.pop_front();
                                     self->read(pump);
                                     self->write(pump);
                                 });
    });
}

void FaultRelay::Connection::onEnd(Pump &pump)
{
    if (!pump.ended || (!pump.queue.empty() && !pump.silenced))
        return;
    error_code ignored;
    if (!pump.silenced)
        pump.to.shutdown(tcp::socket::shutdown_send, ignored);
    if (!m_up.ended || !m_down.ended)
        return;
    m_closed = true;
    m_client.close(ignored);
    m_target.close(ignored);
}

void FaultRelay::Connection::breakInFrame(Pump &pump, std::size_t bytes)
{
    error_code ignored;
    pump.to.write_some(boost::asio::buffer(pump.buffer.data(), bytes / 2), ignored);
    m_resetTimer.expires_after(ResetDelay);
    m_resetTimer.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error)
            self->reset();
    });
}

std::shared_ptr<FaultRelay> FaultRelay::create(boost::asio::io_context &context,
                                               unsigned short listenPort, unsigned short targetPort)
{
    auto relay = std::make_shared<FaultRelay>(context, listenPort, targetPort);
    relay->accept();
    return relay;
}

FaultRelay::FaultRelay(boost::asio::io_context &context, unsigned short listenPort,
                       unsigned short targetPort)
    : m_context(context)
    , m_acceptor(context, loopback(listenPort))
    , m_port(m_acceptor.local_endpoint().port())
    , m_targetPort(targetPort)
{ }

void FaultRelay::accept()
{
    m_acceptor.async_accept(
        [self = shared_from_this()](const error_code &error, tcp::socket client) {
            if (!self->m_acceptor.is_open())
                return;
            if (!error && self->m_cut) {
                resetSocket(client);
            } else if (!error) {
                std::erase_if(self->m_connections, [](const auto &weak) { return weak.expired(); });
                const auto connection = std::make_shared<Connection>(self, std::move(client));
                self->m_connections.push_back(connection);
                connection->start();
            }
            self->accept();
        });
}

std::size_t FaultRelay::connections() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto &weak) { return !weak.expired(); }));
}

void FaultRelay::pass()
{
    m_cut = false;
    m_stalled = false;
    m_delay = std::chrono::milliseconds(0);
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock())
            connection->resume();
    }
}

void FaultRelay::cut()
{
    m_cut = true;
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock())
            connection->reset();
    }
}

void FaultRelay::stall()
{
    m_stalled = true;
}

void FaultRelay::silence(RelayDirection direction)
{
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock())
            connection->silence(direction);
    }
}

void FaultRelay::resetInFrame()
{
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock())
            connection->resetInFrame();
    }
}

void FaultRelay::stop()
{
    cut();
    error_code ignored;
    m_acceptor.close(ignored);
}

} // namespace Bluebellquay::Testing
