// Private part of HttpServer: one connection. Reads a request, calls the handler, writes the
// response, and goes on with bytes that arrived in the meantime.
#pragma once

#include "net/connectionend.h"
#include "net/httplistener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Bluebellquay {

class HttpServer::Session : public std::enable_shared_from_this<HttpServer::Session>
{
public:
    Session(std::shared_ptr<Listener> listener, boost::asio::ip::tcp::socket socket)
        : m_listener(std::move(listener))
        , m_socket(std::move(socket))
        , m_since(m_listener->now())
        , m_progressAt(m_since)
    {
        boost::system::error_code ignored;
        m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    }
    ~Session()
    {
        recordEnd(ConnectionEnd::SessionDropped);
        settle();
        m_listener->remove(this);
        m_listener->setUnfinished(*this, 0);
    }

    void read();
    // For the request of this number; ignored if it is over.
    void respond(std::uint64_t exchange, HttpResponse response);
    void onClosed(std::uint64_t exchange, std::function<void()> callback);
    // Answers from the event loop, because the handler may be in the middle of its own work.
    void exchangeDropped(std::uint64_t exchange);
    void sweep(TimePoint now);
    void close(ConnectionEnd end);
    // A request has begun, lies unread in the socket or is expected soon, or the client sends on
    // behind its last response.
    bool busy();
    void closeIfIdle();

    // A request has begun and is not whole.
    bool unfinished() const { return m_phase == Phase::Reading; }
    // Nothing is lost for the client but a request that is not whole, or a connection.
    bool expendable() const
    {
        return m_phase == Phase::Idle || m_phase == Phase::Reading || m_phase == Phase::Draining;
    }
    // When the present phase began, or something was read in it last.
    TimePoint progressAt() const { return m_progressAt; }
    // Sets what the listener counts for the unfinished request, and returns what it counted before.
    std::size_t chargeUnfinished(std::size_t bytes) { return std::exchange(m_charged, bytes); }
    // Refuses an unfinished request, and frees its memory.
    void refuseForMemory();

private:
    enum class Phase { Idle, Reading, Handling, Writing, Draining, Closed };

    void receive();
    void received(const boost::system::error_code &error, std::size_t size);
    void parse();
    void refuseMalformed(const boost::system::error_code &error);
    void requestRead();
    void handle(const HttpRequest &request);
    bool waitsFor(std::uint64_t exchange) const;
    void beginExchange();
    // Answers the request in progress in place of its handler, which is told that it is over.
    void answerForHandler(UnansweredRequest reason);
    void write(HttpResponse response);
    void written(const boost::system::error_code &error, bool keepAlive);
    // Ends the sending side and discards what the client still sends, until its end.
    void drain();
    void enter(Phase phase);
    // Answers a request that is not handed up, and ends the connection.
    void refuse(HttpResponse response);
    // How the client has ended the connection by now: end of file also if it has closed only its
    // sending side, which looks the same until something is sent.
    boost::system::error_code clientEnd();
    void watchForClose();
    // A client that has closed its side counts as gone: its work is stopped. It may still read.
    void checkClientEnd();
    // The request in progress, if any, is over.
    void settle();
    // Counts the end of the connection, and logs it if a request had begun. The first one counts.
    void recordEnd(ConnectionEnd end);
    bool requestBegun() const;
    // Memory that the unfinished request takes.
    std::size_t unfinishedBytes() const;
    // How long the present phase may last; no limit while a handler works.
    Duration timeLimit() const;
    // Bytes that have arrived and are not read yet.
    std::size_t unreadBytes();
    std::string_view phaseName() const;

    std::shared_ptr<Listener> m_listener;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    std::function<void()> m_closed;
    Phase m_phase = Phase::Idle;
    // Start of the present phase.
    TimePoint m_since;
    TimePoint m_progressAt;
    // Bytes that were read of the request so far.
    std::size_t m_readBytes = 0;
    // What the listener counts for the unfinished request.
    std::size_t m_charged = 0;
    bool m_keepAlive = true;
    bool m_exchangeOpen = false;
    // Number of the request in progress, or of the last one.
    std::uint64_t m_exchange = 0;
    bool m_watching = false;
    bool m_endRecorded = false;
    std::size_t m_drained = 0;
    // Responses sent on this connection.
    std::uint64_t m_responses = 0;
    // The caller's name for the request in progress, for the logs.
    std::string m_requestId;
};

} // namespace Bluebellquay
