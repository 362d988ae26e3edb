// How often each value of an enumeration of reasons occurred.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace Bluebellquay {

// The values of Reason are 0 to size - 1.
template <typename Reason, std::size_t size>
class ReasonCounts
{
public:
    void add(Reason reason) { ++m_counts[static_cast<std::size_t>(reason)]; }
    std::uint64_t count(Reason reason) const { return m_counts[static_cast<std::size_t>(reason)]; }

private:
    std::array<std::uint64_t, size> m_counts{};
};

} // namespace Bluebellquay
