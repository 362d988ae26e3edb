#include "config/networkaddress.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <sstream>

namespace Bluebellquay {

namespace {

std::optional<unsigned short> parsePort(std::string_view text)
{
    unsigned short port = 0;
    const char *const end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, port);
    if (text.empty() || error != std::errc() || parsed != end)
        return std::nullopt;
    return port;
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::optional<unsigned short> port = parsePort(text.substr(colon + 1));
    if (!port)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(host), error);
    if (error || address.is_v6() != bracketed)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(address, *port);
}

std::optional<boost::asio::ip::tcp::endpoint> parseRemoteEndpoint(std::string_view text)
{
    auto endpoint = parseEndpoint(text);
    if (!endpoint || endpoint->port() == 0)
        return std::nullopt;
    const boost::asio::ip::address address = endpoint->address();
    const bool broadcast =
        address.is_v4() && address.to_v4() == boost::asio::ip::address_v4::broadcast();
    if (address.is_unspecified() || address.is_multicast() || broadcast)
        return std::nullopt;
    return endpoint;
}

std::string toString(const boost::asio::ip::tcp::endpoint &endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

} // namespace Bluebellquay
