// Strong integer types: ids that differ only by their tag can't be mixed up.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace Bluebellquay {

// An integer id with a type of its own. Tag only tells ids apart.
template <typename Tag, typename Rep = std::uint64_t>
class StrongId
{
public:
    using Representation = Rep;

    constexpr StrongId() = default;
    constexpr explicit StrongId(Rep value)
        : m_value(value)
    { }

    constexpr Rep value() const { return m_value; }
    constexpr StrongId next() const { return StrongId(static_cast<Rep>(m_value + 1)); }

    // clang-tidy takes the zero that std::less compares the result with for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend constexpr auto operator<=>(StrongId, StrongId) = default;

private:
    Rep m_value = 0;
};

} // namespace Bluebellquay

template <typename Tag, typename Rep>
struct std::hash<Bluebellquay::StrongId<Tag, Rep>>
{
    std::size_t operator()(Bluebellquay::StrongId<Tag, Rep> id) const noexcept
    {
        return std::hash<Rep>()(id.value());
    }
};
