// Private part of ConnectClient: one connection, which carries one call at a time.
//
// A read is always outstanding, so that a close by the server is noticed while the connection is
// idle and not first by the next call.
#pragma once

#include "net/connectpool.h"

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace Bluebellquay {

class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    explicit ClientConnection(std::shared_ptr<ConnectPool> pool);

    // Connects and sends the call.
    void open(const std::shared_ptr<ClientCall> &call);
    void send(const std::shared_ptr<ClientCall> &call);
    // Gives up the call; its answer could not be told from that of the next one, so the
    // connection is closed.
    void abandon(const std::shared_ptr<ClientCall> &call);
    void close();
    bool usable() const { return m_open && !m_call && !m_writing; }

private:
    using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                                    boost::asio::io_context::executor_type>;
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void write();
    void onWritten(const boost::system::error_code &error);
    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void parse();
    void deliver();
    void failed(const std::string &reason);

    std::shared_ptr<ConnectPool> m_pool;
    Socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    // Empty if the connection is idle.
    std::shared_ptr<ClientCall> m_call;
    // Holds the bytes of a write in progress, also if its call has ended.
    std::string m_out;
    // Why the connection failed while a write was in progress; decided when the write has ended.
    std::string m_failure;
    // True from the time the connection is established until it is closed.
    bool m_open = false;
    bool m_writing = false;
    // True once the request of m_call has been handed to the kernel whole.
    bool m_written = false;
    // True after the first answer: only then may a failed write use another connection.
    bool m_used = false;
};

} // namespace Bluebellquay
