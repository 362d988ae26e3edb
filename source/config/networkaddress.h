// Text form of addresses in settings: IP number and port, "127.0.0.1:7000" or "[::1]:7000".
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Bluebellquay {

// Returns nothing for a host name, a missing port or a port above 65535. Port 0 is accepted.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

// As parseEndpoint(), for an address to connect to: nothing also for port 0 and for an address that
// is not that of one machine (unspecified, multicast or broadcast).
std::optional<boost::asio::ip::tcp::endpoint> parseRemoteEndpoint(std::string_view text);

std::string toString(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace Bluebellquay
