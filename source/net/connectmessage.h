// Bodies of the Connect unary protocol: messages in both encodings and the JSON form of errors.
#pragma once

#include "net/connecterror.h"

#include <google/protobuf/message.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Bluebellquay {

enum class ConnectEncoding : std::uint8_t { Proto, Json };

// Nothing if the media type is neither application/proto nor application/json. Parameters such as
// "; charset=utf-8" are allowed.
std::optional<ConnectEncoding> connectEncodingOf(std::string_view contentType);

std::string_view mediaType(ConnectEncoding encoding);

// Decodes the body into the message. Returns what is wrong with the body, nothing if it is well
// formed. Unknown JSON fields are rejected, because a misspelt field would otherwise be ignored.
std::optional<std::string> decodeConnectBody(std::string_view body, ConnectEncoding encoding,
                                             google::protobuf::Message &message);

// Appends the encoded message. Returns false if it has no JSON form, for example because it holds
// an Any of an unknown type.
bool appendConnectBody(const google::protobuf::Message &message, ConnectEncoding encoding,
                       std::string &out);

std::string encodeConnectError(const ConnectError &error);

// Reads an error body; falls back to the code of the HTTP status if the body is not readable.
ConnectError decodeConnectError(std::string_view body, unsigned status);

} // namespace Bluebellquay
