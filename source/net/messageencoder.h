// Writes messages as CBOR; the counterpart that reads them is in messagecodec.cpp.
#pragma once

#include "net/cbor.h"
#include "net/messagecodec.h"
#include "net/messagefields.h"

#include <algorithm>
#include <array>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <vector>

namespace Bluebellquay {

// Bytes of a submission id on the wire: home, issue period, nonce; big-endian.
constexpr std::size_t SubmissionIdBytes = 20;

// Writes values by their static type.
class MessageEncoder
{
public:
    explicit MessageEncoder(std::string &output)
        : m_writer(output)
    { }

    template <WireStruct Struct>
    void write(const Struct &value)
    {
        m_writer.arrayHead(std::tuple_size_v<std::remove_cv_t<decltype(WireFields<Struct>)>>);
        writeFields(value);
    }

    template <WireStruct Struct>
    void writeMessage(std::size_t typeNumber, const Struct &value)
    {
        m_writer.arrayHead(1 + std::tuple_size_v<std::remove_cv_t<decltype(WireFields<Struct>)>>);
        m_writer.unsignedInteger(typeNumber);
        writeFields(value);
    }

private:
    template <typename Struct>
    void writeFields(const Struct &value)
    {
        std::apply([&](auto... member) { (write(value.*member), ...); }, WireFields<Struct>);
    }

    void write(bool value) { m_writer.boolean(value); }
    void write(const std::string &value) { m_writer.bytes(value); }
    void write(Duration value)
    {
        const Duration clamped = std::clamp(value, Duration(0), MaxWireDuration);
        m_writer.unsignedInteger(static_cast<std::uint64_t>(clamped.count()));
    }
    template <std::unsigned_integral Number>
    requires(!std::is_same_v<Number, bool>) void write(Number value)
    {
        m_writer.unsignedInteger(value);
    }
    template <typename Enum>
    requires std::is_enum_v<Enum>
    void write(Enum value) { m_writer.unsignedInteger(static_cast<std::uint64_t>(value)); }
    template <typename Tag, typename Rep>
    void write(StrongId<Tag, Rep> value)
    {
        m_writer.unsignedInteger(value.value());
    }
    void write(const SubmissionId &id)
    {
        char buffer[SubmissionIdBytes];
        char *position = buffer;
        const auto put = [&](std::uint64_t value, unsigned width) {
            for (unsigned i = width; i > 0; --i)
                *position++ = static_cast<char>(value >> (8 * (i - 1)));
        };
        put(id.home().value(), 8);
        put(id.period().value(), 4);
        put(id.nonce().value(), 8);
        m_writer.bytes(std::string_view(buffer, sizeof buffer));
    }
    template <typename Value>
    void write(const std::optional<Value> &value)
    {
        if (value)
            write(*value);
        else
            m_writer.null();
    }
    template <typename Element, std::size_t Size>
    void write(const std::array<Element, Size> &values)
    {
        m_writer.arrayHead(Size);
        for (const Element &value : values)
            write(value);
    }
    template <typename Element>
    void write(const std::vector<Element> &values)
    {
        m_writer.arrayHead(values.size());
        for (const Element &value : values)
            write(value);
    }

    CborWriter m_writer;
};

} // namespace Bluebellquay
