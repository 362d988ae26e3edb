// Named fault relays under the control of text commands. A command is one line:
//
//   add NAME LISTEN_PORT TARGET_PORT   new relay; listen port 0 takes a free one
//   target NAME TARGET_PORT            where new connections go
//   pass NAME                          end cut, stall and delay
//   cut NAME                           reset all connections, old and new
//   stall NAME                         hold back all bytes
//   silence NAME up|down|both          open connections lose all further bytes for good
//   delay NAME MILLISECONDS
//   reset NAME                         reset open connections in the middle of a frame
//   list
//
// NAME may be * for all relays, but not in add. The reply is one line: "ok", with values after it,
// or "error" with the cause.
#pragma once

#include "standins/faultrelay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Bluebellquay::Testing {

class FaultProxy
{
public:
    // Takes commands on 127.0.0.1; port 0 takes a free one. Throws boost::system::system_error.
    FaultProxy(boost::asio::io_context &context, unsigned short controlPort);
    ~FaultProxy() { stop(); }
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    unsigned short controlPort() const { return m_acceptor.local_endpoint().port(); }
    // Runs one command and returns the reply, without line ends.
    std::string execute(const std::string &command);
    // Null if there is no relay of that name.
    FaultRelay *relay(const std::string &name) const;
    void stop();

private:
    class ControlSession;

    void accept();
    std::string add(const std::vector<std::string> &words);
    std::string list() const;
    std::string apply(FaultRelay &relay, const std::vector<std::string> &words);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<std::string, std::shared_ptr<FaultRelay>> m_relays;
};

} // namespace Bluebellquay::Testing
