#include "net/connectioncheck.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>

namespace Bluebellquay {

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned char difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        const volatile unsigned char a = static_cast<unsigned char>(left[i]);
        const volatile unsigned char b = static_cast<unsigned char>(right[i]);
        difference = static_cast<unsigned char>(difference | (a ^ b));
    }
    return difference == 0;
}

bool usableSecret(std::string_view secret)
{
    return !secret.empty()
        && std::all_of(secret.begin(), secret.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    std::string host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    boost::asio::ip::make_address(host, error);
    unsigned short port = 0;
    const char *const end = text.data() + text.size();
    const auto [parsed, bad] = std::from_chars(text.data() + colon + 1, end, port);
    return !error && bad == std::errc() && parsed == end && port != 0;
}

} // namespace Bluebellquay
