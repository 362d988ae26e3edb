#include "net/connecterror.h"

#include <array>

namespace Bluebellquay {

namespace {

struct CodeRow
{
    ConnectCode code;
    std::string_view name;
    unsigned status;
};

// Table "Error codes" of the Connect protocol reference, ordered by number.
constexpr std::array<CodeRow, 16> Codes{{
    {ConnectCode::Canceled, "canceled", 499},
    {ConnectCode::Unknown, "unknown", 500},
    {ConnectCode::InvalidArgument, "invalid_argument", 400},
    {ConnectCode::DeadlineExceeded, "deadline_exceeded", 504},
    {ConnectCode::NotFound, "not_found", 404},
    {ConnectCode::AlreadyExists, "already_exists", 409},
    {ConnectCode::PermissionDenied, "permission_denied", 403},
    {ConnectCode::ResourceExhausted, "resource_exhausted", 429},
    {ConnectCode::FailedPrecondition, "failed_precondition", 400},
    {ConnectCode::Aborted, "aborted", 409},
    {ConnectCode::OutOfRange, "out_of_range", 400},
    {ConnectCode::Unimplemented, "unimplemented", 501},
    {ConnectCode::Internal, "internal", 500},
    {ConnectCode::Unavailable, "unavailable", 503},
    {ConnectCode::DataLoss, "data_loss", 500},
    {ConnectCode::Unauthenticated, "unauthenticated", 401},
}};

const CodeRow &rowOf(ConnectCode code)
{
    const auto number = static_cast<std::size_t>(code);
    return Codes[number >= 1 && number <= Codes.size() ? number - 1 : 1];
}

} // namespace

std::string_view toString(ConnectCode code)
{
    return rowOf(code).name;
}

unsigned httpStatus(ConnectCode code)
{
    return rowOf(code).status;
}

std::optional<ConnectCode> parseConnectCode(std::string_view name)
{
    for (const CodeRow &row : Codes) {
        if (row.name == name)
            return row.code;
    }
    return std::nullopt;
}

ConnectCode connectCodeOfStatus(unsigned status)
{
    switch (status) {
    case 400:
        return ConnectCode::Internal;
    case 401:
        return ConnectCode::Unauthenticated;
    case 403:
        return ConnectCode::PermissionDenied;
    case 404:
        return ConnectCode::Unimplemented;
    case 429:
    case 502:
    case 503:
    case 504:
        return ConnectCode::Unavailable;
    default:
        return ConnectCode::Unknown;
    }
}

} // namespace Bluebellquay
