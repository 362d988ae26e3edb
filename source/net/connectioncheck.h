// Checks of what peer links get from settings and from other processes.
#pragma once

#include <string>
#include <string_view>

namespace Bluebellquay {

// Takes the same time wherever the first difference is, so that a secret can't be found out byte by
// byte. The length is not hidden.
bool equalInConstantTime(std::string_view left, std::string_view right);

// Whether the text can be sent as bearer token: printable ASCII without spaces, not empty.
bool usableSecret(std::string_view secret);

// Whether the text is an IP address and a port. websocketpp would look up names, which can take
// seconds, and would complete a missing port.
bool isAddress(const std::string &text);

} // namespace Bluebellquay
