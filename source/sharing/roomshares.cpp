#include "sharing/roomshares.h"

#include <algorithm>
#include <cmath>

namespace Bluebellquay {

namespace {

// Multiples of the golden ratio are spread evenly over the unit interval, however few there are.
constexpr double GoldenRatio = 0.6180339887498949;
constexpr double MostEqualHomes = 1e6;

} // namespace

double RoomShares::Use::averageAt(TimePoint now) const
{
    const auto passed = static_cast<double>((now - at).count());
    return present
        + (average - present) * std::exp(-passed / static_cast<double>(AveragingTime.count()));
}

void RoomShares::holds(TimePoint now, Incarnation home, std::uint64_t milliProcessors)
{
    const auto position = m_use.find(home);
    if (position == m_use.end())
        return;
    Use &use = position->second;
    use.average = use.averageAt(now);
    use.present = static_cast<double>(milliProcessors);
    use.at = now;
}

double RoomShares::shareOf(TimePoint now, Incarnation home, std::uint32_t milliProcessors) const
{
    const double equal = 1.0 / static_cast<double>(std::max<std::size_t>(1, m_use.size()));
    const auto own = m_use.find(home);
    if (own == m_use.end() || milliProcessors == 0)
        return equal;
    const auto part = [&](const Use &use) {
        return std::min(1.0, use.averageAt(now) / static_cast<double>(milliProcessors));
    };
    double lendable = 0;
    double wanted = 0;
    for (const auto &[other, use] : m_use) {
        lendable += std::max(0.0, equal - std::max(part(use), equal * KeptPart));
        wanted += std::max(0.0, part(use) - equal);
    }
    const double lent = std::min(lendable, wanted);
    if (lent <= 0)
        return equal;
    const double used = part(own->second);
    if (used > equal)
        return equal + (used - equal) * lent / wanted;
    return equal - (equal - std::max(used, equal * KeptPart)) * lent / lendable;
}

std::uint32_t equalHomes(double share, std::uint64_t turn)
{
    const double homes = std::clamp(1 / std::max(share, 1 / MostEqualHomes), 1.0, MostEqualHomes);
    const double fewer = std::floor(homes);
    // The part of the reports that tell `fewer + 1`, for which the mean share comes out right.
    const double more = (1 / fewer - 1 / homes) * fewer * (fewer + 1);
    const double place = std::fmod(static_cast<double>(turn) * GoldenRatio, 1.0);
    return static_cast<std::uint32_t>(fewer) + (place < more ? 1 : 0);
}

} // namespace Bluebellquay
