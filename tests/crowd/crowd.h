// Clients outside the limits: connections that send a head and then go on without end, or stop just
// short of the end of their request, and stay open.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Bluebellquay::Testing {

// What one client sends.
struct CrowdScript
{
    std::string head;
    // Sent again and again until this many bytes were sent, the head aside.
    std::string piece;
    std::size_t bytes = 0;
};

class Crowd
{
public:
    Crowd(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &server,
          std::size_t clients, const CrowdScript &script);
    ~Crowd();

    // Every client has sent all that it has to send, or the server has ended its connection.
    bool done() const;
    // Bytes sent by all clients, their heads aside.
    std::size_t sent() const;

private:
    class Client;

    std::vector<std::shared_ptr<Client>> m_clients;
};

} // namespace Bluebellquay::Testing
