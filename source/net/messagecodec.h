// Puts batches of messages on the wire and reads them back. A frame is the CBOR array
// [protocol version, sequence, [message, ...]]; a message is [type number, fields...]. Everything
// that comes from a peer is checked here; a decoded message has only values its types allow.
#pragma once

#include "base/messages.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Bluebellquay {

constexpr std::size_t MaxMessagesPerFrame = 4096;
// Bytes of a frame before its messages, at most: two array heads, version and sequence.
constexpr std::size_t MaxFrameHeadBytes = 18;
// No duration on the wire is longer (about 31 years), so that sums of a few never overflow.
constexpr Duration MaxWireDuration{1'000'000'000'000'000};
// No list in a message is longer; lists of tasks are limited to MaxTasksPerJob.
constexpr std::size_t MaxListElements = 65'536;

// Why a frame was rejected.
enum class DecodeError : std::uint8_t {
    Truncated,
    TooLarge,
    Malformed, // not the shape of a frame, or bytes follow it
    WrongVersion,
    TooManyMessages,
    UnknownType,
    FieldCount,
    FieldType,
    FieldRange,
};
constexpr std::size_t DecodeErrors = 9;
// Snake-case name as used in logs and metric labels, for example "wrong_version".
std::string_view toString(DecodeError error);

constexpr std::size_t MessageKinds = std::variant_size_v<Message>;
// Snake-case name of the message type with this number; the number must be below MessageKinds.
std::string_view messageKindName(std::size_t typeNumber);

struct ReceivedMessage
{
    Message message;
    std::size_t encodedBytes = 0;
};

struct DecodedFrame
{
    std::uint64_t sequence = 0;
    std::vector<ReceivedMessage> messages;
};

// Appends the message to the output. Durations out of range are clamped.
void appendMessage(std::string &output, const Message &message);

// Head of a frame; the encoded messages follow it.
std::string encodeFrameHead(std::uint64_t sequence, std::size_t messages);

std::string encodeFrame(std::uint64_t sequence, const std::vector<Message> &messages);

// Fails with a DecodeError.
boost::leaf::result<DecodedFrame> decodeFrame(std::string_view frame, std::size_t maxFrameBytes);

} // namespace Bluebellquay
