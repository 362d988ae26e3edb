// Id of a submission. It contains the incarnation of its home, the process that keeps its record.
#pragma once

#include "base/strongid.h"

#include <optional>
#include <string>
#include <string_view>

namespace Bluebellquay {

// One run of one process; drawn at random at its start, so a restarted process never reuses it.
using Incarnation = StrongId<struct IncarnationTag>;

// Number of an issue period, counted by the monotonic clock of the home.
using IssuePeriod = StrongId<struct IssuePeriodTag, std::uint32_t>;

// Unguessable part of a submission id.
using Nonce = StrongId<struct NonceTag>;

// Text form: "hhhhhhhhhhhhhhhh-pppppppp-nnnnnnnnnnnnnnnn", lower-case hexadecimal.
class SubmissionId
{
public:
    constexpr SubmissionId() = default;
    constexpr SubmissionId(Incarnation home, IssuePeriod period, Nonce nonce)
        : m_home(home)
        , m_nonce(nonce)
        , m_period(period)
    { }

    // Returns nothing unless the text has exactly the form above.
    static std::optional<SubmissionId> parse(std::string_view text);

    constexpr Incarnation home() const { return m_home; }
    constexpr IssuePeriod period() const { return m_period; }
    constexpr Nonce nonce() const { return m_nonce; }
    std::string toString() const;

    // clang-tidy takes the zero that std::less compares the result with for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend constexpr auto operator<=>(const SubmissionId &, const SubmissionId &) = default;

private:
    Incarnation m_home;
    Nonce m_nonce;
    IssuePeriod m_period;
};

// Sixteen lower-case hexadecimal digits.
std::string toString(Incarnation incarnation);

// Returns nothing unless the text is sixteen lower-case hexadecimal digits.
std::optional<Incarnation> parseIncarnation(std::string_view text);

} // namespace Bluebellquay

template <>
struct std::hash<Bluebellquay::SubmissionId>
{
    // The nonce is random and differs for each id of one home.
    std::size_t operator()(const Bluebellquay::SubmissionId &id) const noexcept
    {
        return static_cast<std::size_t>(id.nonce().value() ^ id.home().value());
    }
};
