#include "base/submissionid.h"

#include <array>

namespace Bluebellquay {

namespace {

constexpr std::size_t LongDigits = 16;
constexpr std::size_t PeriodDigits = 8;
constexpr std::size_t TextLength = LongDigits + 1 + PeriodDigits + 1 + LongDigits;

void appendHex(std::string &text, std::uint64_t value, std::size_t digits)
{
    static constexpr std::string_view HexDigits = "0123456789abcdef";
    for (std::size_t i = digits; i > 0; --i)
        text.push_back(HexDigits[(value >> ((i - 1) * 4)) & 0xf]);
}

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    for (const char c : text) {
        unsigned digit = 0;
        if (c >= '0' && c <= '9')
            digit = static_cast<unsigned>(c - '0');
        else if (c >= 'a' && c <= 'f')
            digit = static_cast<unsigned>(c - 'a') + 10;
        else
            return std::nullopt;
        value = (value << 4) | digit;
    }
    return value;
}

} // namespace

std::optional<SubmissionId> SubmissionId::parse(std::string_view text)
{
    if (text.size() != TextLength)
        return std::nullopt;
    if (text[LongDigits] != '-' || text[LongDigits + 1 + PeriodDigits] != '-')
        return std::nullopt;
    const auto home = parseHex(text.substr(0, LongDigits));
    const auto period = parseHex(text.substr(LongDigits + 1, PeriodDigits));
    const auto nonce = parseHex(text.substr(LongDigits + 1 + PeriodDigits + 1));
    if (!home || !period || !nonce)
        return std::nullopt;
    return SubmissionId(Incarnation(*home), IssuePeriod(static_cast<std::uint32_t>(*period)),
                        Nonce(*nonce));
}

std::string SubmissionId::toString() const
{
    std::string text;
    text.reserve(TextLength);
    appendHex(text, m_home.value(), LongDigits);
    text.push_back('-');
    appendHex(text, m_period.value(), PeriodDigits);
    text.push_back('-');
    appendHex(text, m_nonce.value(), LongDigits);
    return text;
}

std::string toString(Incarnation incarnation)
{
    std::string text;
    text.reserve(LongDigits);
    appendHex(text, incarnation.value(), LongDigits);
    return text;
}

std::optional<Incarnation> parseIncarnation(std::string_view text)
{
    if (text.size() != LongDigits)
        return std::nullopt;
    const auto value = parseHex(text);
    if (!value)
        return std::nullopt;
    return Incarnation(*value);
}

} // namespace Bluebellquay
