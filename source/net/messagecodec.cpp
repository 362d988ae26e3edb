#include "net/messagecodec.h"

#include "net/cbor.h"
#include "net/messageencoder.h"
#include "net/messagefields.h"

#include <algorithm>
#include <limits>
#include <type_traits>
#include <utility>

namespace Bluebellquay {

namespace {

// Lists grow as their elements are read; no announced length makes a larger reservation.
constexpr std::size_t MaxReservedElements = 64;

constexpr std::string_view ErrorNames[] = {
    "truncated",    "too_large",   "malformed",  "wrong_version", "too_many_messages",
    "unknown_type", "field_count", "field_type", "field_range",
};
static_assert(std::size(ErrorNames) == DecodeErrors);
static_assert(DecodeErrors == static_cast<std::size_t>(DecodeError::FieldRange) + 1);

bool isKnown(ProcessRole value)
{
    return value == ProcessRole::Entry || value == ProcessRole::Agent;
}
bool isKnown(AgentState value)
{
    return value <= AgentState::Gone;
}
bool isKnown(Urgency value)
{
    return value <= Urgency::Background;
}
bool isKnown(Outcome value)
{
    return value >= Outcome::Completed && value <= Outcome::Unknown;
}
bool isKnown(ReplyKind value)
{
    return value >= ReplyKind::Final && value <= ReplyKind::NotSeen;
}
bool isKnown(TaskStatus value)
{
    return value >= TaskStatus::NotStarted && value <= TaskStatus::Lost;
}
bool isKnown(RunResult value)
{
    return value >= RunResult::Done && value <= RunResult::NotStarted;
}
// The numbers of the reasons have gaps between the outcomes.
bool isKnown(Reason value)
{
    return value <= Reason::CannotFit
        || (value >= Reason::TaskFailed && value <= Reason::FailsEverywhere)
        || (value >= Reason::HomeSilent && value <= Reason::OutcomeLost);
}

template <typename Element>
constexpr std::size_t maxElements()
{
    constexpr bool IsTaskList =
        std::is_same_v<
            Element,
            TaskSpec> || std::is_same_v<Element, BoundTask> || std::is_same_v<Element, std::string>;
    return IsTaskList ? MaxTasksPerJob : MaxListElements;
}

// Reads values by their static type. Each call returns false at the first error, which error() then
// tells.
class Decoder
{
public:
    explicit Decoder(std::string_view input)
        : m_reader(input)
    { }

    DecodeError error() const { return m_error; }
    std::size_t remaining() const { return m_reader.remaining(); }
    bool fail(DecodeError error)
    {
        m_error = error;
        return false;
    }

    // Reads an unsigned integer or array head of the frame itself.
    bool frameNumber(std::uint64_t &value)
    {
        return m_reader.unsignedInteger(value) || shapeError(DecodeError::Malformed);
    }
    bool frameArray(std::uint64_t &items)
    {
        return m_reader.arrayHead(items) || shapeError(DecodeError::Malformed);
    }

    bool readMessage(Message &message)
    {
        std::uint64_t items = 0;
        std::uint64_t typeNumber = 0;
        if (!frameArray(items))
            return false;
        if (items == 0)
            return fail(DecodeError::FieldCount);
        if (!frameNumber(typeNumber))
            return false;
        if (typeNumber >= MessageKinds)
            return fail(DecodeError::UnknownType);
        return readAlternative(message, typeNumber, items - 1,
                               std::make_index_sequence<MessageKinds>());
    }

private:
    bool shapeError(DecodeError error)
    {
        return fail(m_reader.truncated() ? DecodeError::Truncated : error);
    }

    template <std::size_t... Indices>
    bool readAlternative(Message &message, std::uint64_t typeNumber, std::uint64_t fields,
                         std::index_sequence<Indices...>)
    {
        using Reader = bool (Decoder::*)(Message &, std::uint64_t);
        static constexpr Reader Readers[] = {&Decoder::readAs<Indices>...};
        return (this->*Readers[typeNumber])(message, fields);
    }

    template <std::size_t Index>
    bool readAs(Message &message, std::uint64_t fields)
    {
        return readFields(message.emplace<Index>(), fields);
    }

    template <typename Struct>
    bool readFields(Struct &value, std::uint64_t fields)
    {
        if (fields != std::tuple_size_v<std::remove_cv_t<decltype(WireFields<Struct>)>>)
            return fail(DecodeError::FieldCount);
        return std::apply([&](auto... member) { return (read(value.*member) && ...); },
                          WireFields<Struct>)
            && (isConsistent(value) || fail(DecodeError::FieldRange));
    }

    template <typename Struct>
    static bool isConsistent(const Struct &)
    {
        return true;
    }
    static bool isConsistent(const Reply &reply)
    {
        return reply.answer.has_value() == (reply.kind == ReplyKind::Final);
    }

    template <WireStruct Struct>
    bool read(Struct &value)
    {
        std::uint64_t fields = 0;
        if (!m_reader.arrayHead(fields))
            return shapeError(DecodeError::FieldType);
        return readFields(value, fields);
    }

    bool read(bool &value) { return m_reader.boolean(value) || shapeError(DecodeError::FieldType); }
    bool read(std::string &value)
    {
        std::string_view view;
        if (!m_reader.bytes(view))
            return shapeError(DecodeError::FieldType);
        value.assign(view);
        return true;
    }
    bool readNumber(std::uint64_t &value, std::uint64_t limit)
    {
        if (!m_reader.unsignedInteger(value))
            return shapeError(DecodeError::FieldType);
        return value <= limit || fail(DecodeError::FieldRange);
    }
    bool read(Duration &value)
    {
        std::uint64_t number = 0;
        if (!readNumber(number, static_cast<std::uint64_t>(MaxWireDuration.count())))
            return false;
        value = Duration(static_cast<Duration::rep>(number));
        return true;
    }
    template <std::unsigned_integral Number>
    requires(!std::is_same_v<Number, bool>) bool read(Number &value)
    {
        std::uint64_t number = 0;
        if (!readNumber(number, std::numeric_limits<Number>::max()))
            return false;
        value = static_cast<Number>(number);
        return true;
    }
    template <typename Enum>
    requires std::is_enum_v<Enum>
    bool read(Enum &value)
    {
        std::underlying_type_t<Enum> number{};
        if (!read(number))
            return false;
        value = static_cast<Enum>(number);
        return isKnown(value) || fail(DecodeError::FieldRange);
    }
    template <typename Tag, typename Rep>
    bool read(StrongId<Tag, Rep> &value)
    {
        Rep number{};
        if (!read(number))
            return false;
        value = StrongId<Tag, Rep>(number);
        return true;
    }
    bool read(SubmissionId &value)
    {
        std::string_view view;
        if (!m_reader.bytes(view))
            return shapeError(DecodeError::FieldType);
        if (view.size() != SubmissionIdBytes)
            return fail(DecodeError::FieldRange);
        const auto take = [&](unsigned width) {
            std::uint64_t number = 0;
            for (unsigned i = 0; i < width; ++i)
                number = (number << 8) | static_cast<unsigned char>(view[i]);
            view.remove_prefix(width);
            return number;
        };
        const Incarnation home(take(8));
        const IssuePeriod period(static_cast<std::uint32_t>(take(4)));
        value = SubmissionId(home, period, Nonce(take(8)));
        return true;
    }
    template <typename Value>
    bool read(std::optional<Value> &value)
    {
        if (m_reader.skipNull()) {
            value.reset();
            return true;
        }
        return read(value.emplace());
    }
    template <typename Element, std::size_t Size>
    bool read(std::array<Element, Size> &values)
    {
        std::uint64_t size = 0;
        if (!m_reader.arrayHead(size))
            return shapeError(DecodeError::FieldType);
        if (size != Size)
            return fail(DecodeError::FieldCount);
        return std::all_of(values.begin(), values.end(),
                           [this](Element &value) { return read(value); });
    }
    template <typename Element>
    bool read(std::vector<Element> &values)
    {
        std::uint64_t size = 0;
        if (!m_reader.arrayHead(size))
            return shapeError(DecodeError::FieldType);
        if (size > maxElements<Element>())
            return fail(DecodeError::FieldRange);
        if (size > m_reader.remaining())
            return fail(DecodeError::Truncated);
        values.reserve(std::min<std::size_t>(size, MaxReservedElements));
        for (std::uint64_t i = 0; i < size; ++i) {
            if (!read(values.emplace_back()))
                return false;
        }
        return true;
    }

    CborReader m_reader;
    DecodeError m_error = DecodeError::Malformed;
};

bool readFrame(Decoder &decoder, DecodedFrame &frame)
{
    std::uint64_t items = 0;
    std::uint64_t version = 0;
    if (!decoder.frameArray(items))
        return false;
    if (items != 3)
        return decoder.fail(DecodeError::Malformed);
    if (!decoder.frameNumber(version))
        return false;
    if (version != ProtocolVersion)
        return decoder.fail(DecodeError::WrongVersion);
    std::uint64_t count = 0;
    if (!decoder.frameNumber(frame.sequence) || !decoder.frameArray(count))
        return false;
    if (count > MaxMessagesPerFrame)
        return decoder.fail(DecodeError::TooManyMessages);
    if (count > decoder.remaining())
        return decoder.fail(DecodeError::Truncated);
    frame.messages.reserve(count);
    for (std::uint64_t i = 0; i < count; ++i) {
        const std::size_t before = decoder.remaining();
        ReceivedMessage &received = frame.messages.emplace_back();
        if (!decoder.readMessage(received.message))
            return false;
        received.encodedBytes = before - decoder.remaining();
    }
    return decoder.remaining() == 0 || decoder.fail(DecodeError::Malformed);
}

} // namespace

std::string_view toString(DecodeError error)
{
    return ErrorNames[static_cast<std::size_t>(error)];
}

void appendMessage(std::string &output, const Message &message)
{
    MessageEncoder encoder(output);
    std::visit([&](const auto &value) { encoder.writeMessage(message.index(), value); }, message);
}

std::string encodeFrameHead(std::uint64_t sequence, std::size_t messages)
{
    std::string head;
    head.reserve(MaxFrameHeadBytes);
    CborWriter writer(head);
    writer.arrayHead(3);
    writer.unsignedInteger(ProtocolVersion);
    writer.unsignedInteger(sequence);
    writer.arrayHead(messages);
    return head;
}

std::string encodeFrame(std::uint64_t sequence, const std::vector<Message> &messages)
{
    std::string frame = encodeFrameHead(sequence, messages.size());
    for (const Message &message : messages)
        appendMessage(frame, message);
    return frame;
}

boost::leaf::result<DecodedFrame> decodeFrame(std::string_view frame, std::size_t maxFrameBytes)
{
    if (frame.size() > maxFrameBytes)
        return boost::leaf::new_error(DecodeError::TooLarge);
    Decoder decoder(frame);
    DecodedFrame decoded;
    if (!readFrame(decoder, decoded))
        return boost::leaf::new_error(decoder.error());
    return decoded;
}

} // namespace Bluebellquay
