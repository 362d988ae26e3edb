// Guards against messages that change on the wire, and against a peer that crashes, blocks or
// exhausts this process with a malformed frame. RapidCheck prints the seed of a failure and takes
// it from RC_PARAMS.
#include "net/allocationwatch.h"
#include "net/messagegenerators.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;
using nlohmann::json;

namespace {

constexpr std::size_t FrameLimit = 8UL << 20;

struct Decoded
{
    std::optional<DecodedFrame> frame;
    std::optional<DecodeError> error;
};

Decoded decode(std::string_view bytes, std::size_t limit = FrameLimit)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Decoded> {
            BOOST_LEAF_AUTO(frame, decodeFrame(bytes, limit));
            return Decoded{std::move(frame), std::nullopt};
        },
        [](DecodeError error) {
            return Decoded{std::nullopt, error};
        },
        [] { return Decoded{}; });
}

std::string reencode(const DecodedFrame &frame)
{
    std::vector<Message> messages;
    for (const ReceivedMessage &received : frame.messages)
        messages.push_back(received.message);
    return encodeFrame(frame.sequence, messages);
}

std::string toCbor(const json &document)
{
    const auto bytes = json::to_cbor(document);
    return {bytes.begin(), bytes.end()};
}

// The error for a frame that holds this one message.
std::optional<DecodeError> errorOf(const json &message)
{
    return decode(toCbor({ProtocolVersion, 1, json::array({message})})).error;
}

json bytesOf(const std::string &text)
{
    return json::binary({text.begin(), text.end()});
}

template <std::size_t... Kinds>
void checkRoundTrips(std::index_sequence<Kinds...>)
{
    const auto check = [](std::size_t kind) {
        INFO("message kind " << messageKindName(kind));
        CHECK(rc::check("a decoded message equals the encoded one", [kind] {
            const Message message = generateKind(kind);
            const std::string frame = encodeFrame(7, {message});
            const Decoded decoded = decode(frame);
            RC_ASSERT(decoded.frame.has_value());
            RC_ASSERT(decoded.frame->sequence == 7U);
            RC_ASSERT(decoded.frame->messages.size() == 1U);
            RC_ASSERT(decoded.frame->messages[0].message == message);
        }));
    };
    (check(Kinds), ...);
}

} // namespace

TEST_CASE("Every message kind survives the wire", "[net]")
{
    checkRoundTrips(std::make_index_sequence<MessageKinds>());
}

TEST_CASE("A frame is CBOR as another implementation reads it", "[net]")
{
    const std::string frame = encodeFrame(
        500, {StopWaiting{Correlation(70000)}, ConfigDocument{ConfigVersion(3), "id", "text"}});
    CHECK(json::from_cbor(frame)
          == json({2, 500, {{7, 70000}, {3, 3, bytesOf("id"), bytesOf("text")}}}));
}

TEST_CASE("Random bytes are decoded or rejected without harm", "[net]")
{
    CHECK(rc::check("bytes that decode are the encoding of what was decoded", [] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        const Decoded decoded = decode(bytes);
        RC_ASSERT(decoded.frame.has_value() != decoded.error.has_value());
        if (decoded.frame)
            RC_ASSERT(reencode(*decoded.frame) == bytes);
    }));
}

TEST_CASE("A truncated frame is rejected at every length", "[net]")
{
    CHECK(rc::check("no prefix of a frame decodes", [] {
        const std::string frame = encodeFrame(1, generateBatch());
        for (std::size_t size = 0; size < frame.size(); ++size)
            RC_ASSERT(decode(std::string_view(frame).substr(0, size)).error
                      == DecodeError::Truncated);
    }));
}

TEST_CASE("A mutated frame is rejected or decodes to what its bytes say", "[net]")
{
    CHECK(rc::check("each value has one encoding", [] {
        std::string frame = encodeFrame(1, generateBatch());
        const auto changes = *rc::gen::inRange<std::size_t>(1, 4);
        for (std::size_t i = 0; i < changes; ++i)
            frame[*rc::gen::inRange<std::size_t>(0, frame.size())] = *rc::gen::arbitrary<char>();
        const Decoded decoded = decode(frame);
        if (decoded.frame)
            RC_ASSERT(reencode(*decoded.frame) == frame);
    }));
}

TEST_CASE("Frames of a wrong shape are rejected with the reason", "[net]")
{
    const json valid = {7, 1}; // StopWaiting with correlation 1
    CHECK_FALSE(errorOf(valid));
    CHECK(decode(toCbor({ProtocolVersion + 1, 1, {valid}})).error == DecodeError::WrongVersion);
    CHECK(decode(toCbor({ProtocolVersion, 1, {valid}, 0})).error == DecodeError::Malformed);
    CHECK(decode(toCbor({ProtocolVersion, -1, {valid}})).error == DecodeError::Malformed);
    CHECK(decode(toCbor({{"version", 1}})).error == DecodeError::Malformed);
    CHECK(decode(toCbor({ProtocolVersion, 1, {valid}}) + '\0').error == DecodeError::Malformed);
    CHECK(decode("").error == DecodeError::Truncated);
    CHECK(decode(toCbor({ProtocolVersion, 1, {valid}}), 5).error == DecodeError::TooLarge);
    json many = json::array();
    many.get_ref<json::array_t &>().assign(MaxMessagesPerFrame, valid);
    CHECK_FALSE(decode(toCbor({ProtocolVersion, 1, many})).error);
    many.push_back(valid);
    CHECK(decode(toCbor({ProtocolVersion, 1, many})).error == DecodeError::TooManyMessages);
    CHECK(errorOf({MessageKinds, 1}) == DecodeError::UnknownType);
    CHECK(errorOf(json::array()) == DecodeError::FieldCount);
    CHECK(errorOf(json::array({7})) == DecodeError::FieldCount);
    CHECK(errorOf({7, 1, 1}) == DecodeError::FieldCount);
}

TEST_CASE("Fields of a wrong type or range are rejected", "[net]")
{
    const json id = bytesOf(std::string(20, 'i'));
    CHECK_FALSE(errorOf({9, 1, id, 4, 0})); // Refuse
    CHECK(errorOf({9, "1", id, 4, 0}) == DecodeError::FieldType);
    CHECK(errorOf({9, 1.5, id, 4, 0}) == DecodeError::FieldType);
    CHECK(errorOf({9, nullptr, id, 4, 0}) == DecodeError::FieldType);
    CHECK(errorOf({9, 1, bytesOf("short"), 4, 0}) == DecodeError::FieldRange);
    CHECK(errorOf({9, 1, id, 12, 0}) == DecodeError::FieldRange); // a gap between the reasons
    CHECK(errorOf({9, 1, id, 300, 0}) == DecodeError::FieldRange);
    CHECK(errorOf({9, 1, id, 4, -1}) == DecodeError::FieldType);
    CHECK(errorOf({9, 1, id, 4, MaxWireDuration.count() + 1}) == DecodeError::FieldRange);
    CHECK_FALSE(errorOf({17, id, true})); // Withdraw
    CHECK(errorOf({17, id, 1}) == DecodeError::FieldType);
    CHECK_FALSE(errorOf({13, 1, id, 0xffffffffU})); // Pull
    CHECK(errorOf({13, 1, id, 0x100000000ULL}) == DecodeError::FieldRange);
    const json answer = {1, 0, bytesOf(""), nullptr, json::array()};
    CHECK_FALSE(errorOf({11, 1, id, 1, {0, 0, 0}, answer})); // Reply, final
    CHECK(errorOf({11, 1, id, 1, {0, 0, 0}, nullptr}) == DecodeError::FieldRange);
    CHECK(errorOf({11, 1, id, 2, {0, 0, 0}, answer}) == DecodeError::FieldRange);
    CHECK(errorOf({11, 1, id, 2, {0, 0}, nullptr}) == DecodeError::FieldCount);
    json outputs = json::array();
    outputs.get_ref<json::array_t &>().assign(MaxTasksPerJob + 1, bytesOf(""));
    CHECK(errorOf({11, 1, id, 1, {0, 0, 0}, {1, 0, bytesOf(""), nullptr, outputs}})
          == DecodeError::FieldRange);
}

TEST_CASE("Announced sizes and nesting cost neither memory nor stack", "[net]")
{
    using namespace std::string_literals;
    const std::string start = "\x83\x02\x01"s; // head of a frame, version, sequence
    const std::string hugeArray = "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"s;
    const std::string hugeBytes = "\x5b\x7f\xff\xff\xff\xff\xff\xff\xff"s;
    const std::string million = "\x9a\x00\x01\x00\x00"s; // 65,536 elements
    std::vector<std::string> frames{
        start + hugeArray,
        start + "\x81\x84\x03\x01"s + hugeBytes, // ConfigDocument
        start + "\x81\x82\x10"s + hugeArray,     // ResultAck
        start + "\x81\x83\x02"s + million + std::string(70'000, '\x87'),
        "\x83\x02\x01\x81\x82\x07\x1b\x00\x00\x00\x00\x00\x00\x00\x01"s, // not the shortest form
    };
    for (const char nested : {'\x81', '\x9f', '\x5f', '\x7f', '\xc1', '\xa1', '\xbf'}) {
        frames.push_back(std::string(FrameLimit, nested));
        frames.push_back(start + "\x81\x82\x07"s + std::string(1 << 20, nested));
    }
    resetLargestAllocation();
    for (const std::string &frame : frames)
        CHECK(decode(frame).error);
    constexpr std::size_t SmallAllocation = 64UL * 1024;
    CHECK(largestAllocation() < SmallAllocation);
}
