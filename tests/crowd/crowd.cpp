#include "crowd/crowd.h"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace Bluebellquay::Testing {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

} // namespace

class Crowd::Client : public std::enable_shared_from_this<Client>
{
public:
    Client(asio::io_context &context, const CrowdScript &script)
        : m_socket(context)
        , m_script(script)
    { }

    void start(const Tcp::endpoint &server)
    {
        m_socket.async_connect(server,
                               [self = shared_from_this()](const boost::system::error_code &error) {
                                   if (error)
                                       self->m_done = true;
                                   else
                                       self->write(self->m_script.head, 0);
                               });
    }
    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }
    bool done() const { return m_done; }
    std::size_t sent() const { return m_sent; }

private:
    void write(const std::string &text, std::size_t counted)
    {
        asio::async_write(m_socket, asio::buffer(text),
                          [self = shared_from_this(),
                           counted](const boost::system::error_code &error, std::size_t) {
                              if (!error)
                                  self->m_sent += counted;
                              if (error || self->m_sent >= self->m_script.bytes)
                                  self->m_done = true;
                              else
                                  self->write(self->m_script.piece, self->m_script.piece.size());
                          });
    }

    Tcp::socket m_socket;
    const CrowdScript m_script;
    std::size_t m_sent = 0;
    bool m_done = false;
};

Crowd::Crowd(asio::io_context &context, const Tcp::endpoint &server, std::size_t clients,
             const CrowdScript &script)
{
    for (std::size_t i = 0; i < clients; ++i) {
        m_clients.push_back(std::make_shared<Client>(context, script));
        m_clients.back()->start(server);
    }
}

Crowd::~Crowd()
{
    for (const auto &client : m_clients)
        client->close();
}

bool Crowd::done() const
{
    return std::all_of(m_clients.begin(), m_clients.end(),
                       [](const auto &client) { return client->done(); });
}

std::size_t Crowd::sent() const
{
    std::size_t sum = 0;
    for (const auto &client : m_clients)
        sum += client->sent();
    return sum;
}

} // namespace Bluebellquay::Testing
