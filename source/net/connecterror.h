// Errors of the Connect unary protocol, as it publishes them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Bluebellquay {

// The numbers are the published ones, so that logs can be compared with other implementations.
enum class ConnectCode : std::uint8_t {
    Canceled = 1,
    Unknown = 2,
    InvalidArgument = 3,
    DeadlineExceeded = 4,
    NotFound = 5,
    AlreadyExists = 6,
    PermissionDenied = 7,
    ResourceExhausted = 8,
    FailedPrecondition = 9,
    Aborted = 10,
    OutOfRange = 11,
    Unimplemented = 12,
    Internal = 13,
    Unavailable = 14,
    DataLoss = 15,
    Unauthenticated = 16,
};

struct ConnectError
{
    ConnectCode code = ConnectCode::Unknown;
    std::string message;
    // True if the peer answered with this error, false if its answer was not received.
    bool fromPeer = false;
};

// Published snake-case name, for example "invalid_argument".
std::string_view toString(ConnectCode code);

// HTTP status that the protocol assigns to the code.
unsigned httpStatus(ConnectCode code);

// Returns nothing unless the name is a published one.
std::optional<ConnectCode> parseConnectCode(std::string_view name);

// Code that the protocol assigns to an error response without a readable error body.
ConnectCode connectCodeOfStatus(unsigned status);

} // namespace Bluebellquay
