#include "net/cbor.h"

namespace Bluebellquay {

using Cbor::FirstLongInfo;

namespace {

constexpr unsigned MajorMask = 0xe0;
constexpr unsigned InfoMask = 0x1f;
// Values of 1, 2, 4 and 8 bytes follow the widths from FirstLongInfo on.
constexpr unsigned LastLongInfo = 27;

constexpr char False = static_cast<char>(0xf4);
constexpr char True = static_cast<char>(0xf5);
constexpr char Null = static_cast<char>(0xf6);

// The smallest value that may use 1, 2, 4 or 8 bytes: each value has one form only.
constexpr std::uint64_t SmallestOfWidth[] = {24, 1ULL << 8, 1ULL << 16, 1ULL << 32};

} // namespace

void CborWriter::longHead(unsigned major, std::uint64_t value)
{
    unsigned widthIndex = 0;
    while (widthIndex < 3 && value >= SmallestOfWidth[widthIndex + 1])
        ++widthIndex;
    char buffer[9];
    buffer[0] = static_cast<char>(major | (FirstLongInfo + widthIndex));
    const unsigned width = 1U << widthIndex;
    for (unsigned i = 0; i < width; ++i)
        buffer[1 + i] = static_cast<char>(value >> (8 * (width - 1 - i)));
    m_output.append(buffer, 1 + width);
}

bool CborReader::longHead(unsigned major, std::uint64_t &value)
{
    if (m_input.empty()) {
        m_truncated = true;
        return false;
    }
    const auto first = static_cast<unsigned char>(m_input.front());
    if ((first & MajorMask) != major)
        return false;
    const unsigned info = first & InfoMask;
    if (info > LastLongInfo)
        return false;
    const unsigned widthIndex = info - FirstLongInfo;
    const unsigned width = 1U << widthIndex;
    if (m_input.size() < 1 + width) {
        m_truncated = true;
        return false;
    }
    std::uint64_t result = 0;
    for (unsigned i = 0; i < width; ++i)
        result = (result << 8) | static_cast<unsigned char>(m_input[1 + i]);
    if (result < SmallestOfWidth[widthIndex])
        return false;
    value = result;
    m_input.remove_prefix(1 + width);
    return true;
}

bool CborReader::boolean(bool &value)
{
    if (m_input.empty()) {
        m_truncated = true;
        return false;
    }
    if (m_input.front() != False && m_input.front() != True)
        return false;
    value = m_input.front() == True;
    m_input.remove_prefix(1);
    return true;
}

bool CborReader::skipNull()
{
    if (m_input.empty() || m_input.front() != Null)
        return false;
    m_input.remove_prefix(1);
    return true;
}

bool CborReader::bytes(std::string_view &value)
{
    std::uint64_t size = 0;
    if (!head(0x40, size))
        return false;
    if (size > m_input.size()) {
        m_truncated = true;
        return false;
    }
    value = m_input.substr(0, static_cast<std::size_t>(size));
    m_input.remove_prefix(static_cast<std::size_t>(size));
    return true;
}

} // namespace Bluebellquay
