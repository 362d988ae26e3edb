#include "net/connectclient.h"

#include "net/connectpool.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace Bluebellquay {

namespace {

using Endpoint = boost::asio::ip::tcp::endpoint;

std::optional<Endpoint> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t number = 0;
    const char *const end = port.data() + port.size();
    const auto [position, error] = std::from_chars(port.data(), end, number);
    if (error != std::errc() || position != end || number == 0)
        return std::nullopt;
    boost::system::error_code failure;
    const auto address = boost::asio::ip::make_address(std::string(host), failure);
    if (failure)
        return std::nullopt;
    return Endpoint(address, number);
}

} // namespace

boost::leaf::result<std::unique_ptr<ConnectClient>>
ConnectClient::create(boost::asio::io_context &context, ConnectClientSettings settings)
{
    const auto endpoint = parseAddress(settings.address);
    if (!endpoint)
        return boost::leaf::new_error(AddressError{settings.address});
    auto pool = std::make_shared<ConnectPool>(context, std::move(settings), *endpoint);
    return std::unique_ptr<ConnectClient>(new ConnectClient(std::move(pool)));
}

ConnectClient::ConnectClient(std::shared_ptr<ConnectPool> pool)
    : m_pool(std::move(pool))
{ }

ConnectClient::~ConnectClient()
{
    m_pool->shutdown();
}

void ConnectClient::callRaw(std::string_view method, const google::protobuf::Message &request,
                            Duration timeout, std::unique_ptr<google::protobuf::Message> response,
                            RawDone done)
{
    m_pool->call(method, request, timeout, std::move(response), std::move(done));
}

} // namespace Bluebellquay
