// The subset of CBOR (RFC 8949) that peer messages use: unsigned integers, byte strings, arrays of
// known length, booleans and null. The reader rejects everything else, so its depth and memory are
// bounded by its caller and never by the input. A general parser is no substitute: that of
// nlohmann::json recurses once for each byte of a run of 0x5f or 0x7f (nested strings of unknown
// length) and overflows the stack.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Bluebellquay {

namespace Cbor {

// Low bits of the first byte of an item: a value below this, or its width.
constexpr unsigned FirstLongInfo = 24;

} // namespace Cbor

// Appends items to a string.
class CborWriter
{
public:
    explicit CborWriter(std::string &output)
        : m_output(output)
    { }

    void unsignedInteger(std::uint64_t value) { head(0x00, value); }
    void arrayHead(std::uint64_t items) { head(0x80, items); }
    void boolean(bool value) { m_output.push_back(static_cast<char>(value ? 0xf5 : 0xf4)); }
    void null() { m_output.push_back(static_cast<char>(0xf6)); }
    void bytes(std::string_view value)
    {
        head(0x40, value.size());
        m_output.append(value);
    }

private:
    // Writes the shortest form of the value.
    void head(unsigned major, std::uint64_t value)
    {
        if (value < Cbor::FirstLongInfo)
            m_output.push_back(static_cast<char>(major | static_cast<unsigned>(value)));
        else
            longHead(major, value);
    }
    void longHead(unsigned major, std::uint64_t value);

    std::string &m_output;
};

// Reads items from the front of a buffer. Each call returns false, and consumes nothing that may be
// relied on, if the next item is cut off or is not of the wanted kind; truncated() tells which.
class CborReader
{
public:
    explicit CborReader(std::string_view input)
        : m_input(input)
    { }

    bool unsignedInteger(std::uint64_t &value) { return head(0x00, value); }
    bool arrayHead(std::uint64_t &items) { return head(0x80, items); }
    bool boolean(bool &value);
    // Consumes a null if it is the next item.
    bool skipNull();
    // The view is into the buffer.
    bool bytes(std::string_view &value);

    std::size_t remaining() const { return m_input.size(); }
    bool truncated() const { return m_truncated; }

private:
    bool head(unsigned major, std::uint64_t &value)
    {
        // Most heads are one byte long.
        if (!m_input.empty()) {
            const unsigned info = static_cast<unsigned char>(m_input.front()) ^ major;
            if (info < Cbor::FirstLongInfo) {
                value = info;
                m_input.remove_prefix(1);
                return true;
            }
        }
        return longHead(major, value);
    }
    bool longHead(unsigned major, std::uint64_t &value);

    std::string_view m_input;
    bool m_truncated = false;
};

} // namespace Bluebellquay
