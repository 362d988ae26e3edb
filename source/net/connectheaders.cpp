#include "net/connectheaders.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <charconv>
#include <chrono>
#include <cstdint>

namespace Bluebellquay {

namespace {

// The protocol allows at most ten digits.
constexpr std::size_t MaxTimeoutDigits = 10;

constexpr std::string_view ProtocolVersion = "1";

// The time depends on the length of the tokens only, so that it tells nothing about the secret.
bool equalInConstantTime(std::string_view left, std::string_view right)
{
    volatile unsigned difference = left.size() == right.size() ? 0U : 1U;
    for (std::size_t i = 0; i < left.size(); ++i) {
        const char other = right.empty() ? '\0' : right[i % right.size()];
        difference = difference
            | static_cast<unsigned>(static_cast<unsigned char>(left[i])
                                    ^ static_cast<unsigned char>(other));
    }
    return difference == 0;
}

std::optional<Duration> parseTimeout(std::string_view text)
{
    if (text.empty() || text.size() > MaxTimeoutDigits)
        return std::nullopt;
    std::int64_t milliseconds = 0;
    const char *const end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, milliseconds);
    if (error != std::errc() || position != end || milliseconds < 0)
        return std::nullopt;
    return std::chrono::milliseconds(milliseconds);
}

bool authorized(const ConnectRequest &request, const std::optional<std::string> &secret)
{
    if (!secret)
        return true;
    static constexpr std::string_view Scheme = "Bearer ";
    const std::string_view value = request.authorization;
    return boost::beast::iequals(value.substr(0, Scheme.size()), Scheme)
        && equalInConstantTime(value.substr(Scheme.size()), *secret);
}

} // namespace

std::optional<ConnectError> checkConnectHeaders(const ConnectRequest &request,
                                                const std::optional<std::string> &secret,
                                                CallContext &context)
{
    if (!authorized(request, secret))
        return ConnectError{ConnectCode::Unauthenticated, "missing or wrong bearer token"};
    if (!request.protocolVersion.empty() && request.protocolVersion != ProtocolVersion)
        return ConnectError{ConnectCode::InvalidArgument, "Connect-Protocol-Version must be 1"};
    if (!request.contentEncoding.empty()
        && !boost::beast::iequals(request.contentEncoding, "identity"))
        return ConnectError{ConnectCode::Unimplemented,
                            "unknown Content-Encoding; supported: identity"};
    if (request.timeout.empty())
        return std::nullopt;
    context.timeout = parseTimeout(request.timeout);
    if (!context.timeout)
        return ConnectError{ConnectCode::InvalidArgument,
                            "Connect-Timeout-Ms must be a number of at most ten digits"};
    return std::nullopt;
}

void appendResponseHead(std::string &out, const ResponseHead &head)
{
    if (head.status == 200) {
        out += "HTTP/1.1 200 OK\r\n";
    } else {
        const auto status = static_cast<boost::beast::http::status>(head.status);
        out += "HTTP/1.1 ";
        out += std::to_string(head.status);
        out += ' ';
        out += std::string_view(boost::beast::http::obsolete_reason(status));
        out += "\r\n";
    }
    if (!head.contentType.empty()) {
        out += "Content-Type: ";
        out += head.contentType;
        out += "\r\n";
    }
    out += head.extraHeaders;
    if (head.close)
        out += "Connection: close\r\n";
    out += "Content-Length: ";
    out += std::to_string(head.bodySize);
    out += "\r\n\r\n";
}

} // namespace Bluebellquay
