// Private part of ConnectServer: checks of request headers and the head of a response.
#pragma once

#include "net/connectrequest.h"
#include "net/connectserver.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Bluebellquay {

// Checks token, protocol version, content encoding and timeout, and fills in the context. Returns
// the error to answer with, nothing if the call may go on.
std::optional<ConnectError> checkConnectHeaders(const ConnectRequest &request,
                                                const std::optional<std::string> &secret,
                                                CallContext &context);

struct ResponseHead
{
    unsigned status;
    // Empty for a response without body.
    std::string_view contentType;
    std::size_t bodySize;
    // Whole lines with their ends.
    std::string_view extraHeaders;
    bool close;
};

// Appends status line and headers.
void appendResponseHead(std::string &out, const ResponseHead &head);

} // namespace Bluebellquay
