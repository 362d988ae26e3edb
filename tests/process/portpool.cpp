#include "process/portpool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <stdexcept>

namespace Bluebellquay::Testing {

namespace {

constexpr unsigned FirstPort = 10'000;
constexpr unsigned EndPort = 32'000;
// Tests that run side by side start in different places.
constexpr unsigned PortsPerProcess = 97;

bool isFree(unsigned port)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    tcp::acceptor acceptor(context);
    boost::system::error_code error;
    const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(),
                                 static_cast<unsigned short>(port));
    acceptor.open(endpoint.protocol(), error);
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(endpoint, error);
    return !error;
}

} // namespace

PortPool::PortPool()
    : m_next(FirstPort
             + (static_cast<unsigned>(getpid()) * PortsPerProcess) % (EndPort - FirstPort))
{ }

unsigned short PortPool::next()
{
    for (unsigned tries = 0; tries < EndPort - FirstPort; ++tries) {
        const unsigned port = m_next;
        m_next = m_next + 1 < EndPort ? m_next + 1 : FirstPort;
        if (isFree(port))
            return static_cast<unsigned short>(port);
    }
    throw std::runtime_error("no free loopback port");
}

} // namespace Bluebellquay::Testing
