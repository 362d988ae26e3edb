#include "core/slotshares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Bluebellquay {

namespace {

constexpr double LoadSeconds = 2.0;
// In the rough model of docs/design.md, 2 reserved slots out of 88 at 24 slots of short load were
// best for requests and jobs together.
constexpr double ReservedPerShortSlot = 0.08;
constexpr double MaxReservedShare = 0.1;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

bool SlotShares::isShort(const Reserve &offer)
{
    return offer.jobTasks == 1 || offer.urgency == Urgency::Urgent;
}

double SlotShares::shortLoad(TimePoint now) const
{
    return m_shortLoad * std::exp(-std::max(0.0, seconds(now - m_shortLoadAt)) / LoadSeconds);
}

void SlotShares::started(TimePoint now, const std::string &branch, const std::string &team,
                         bool isShort, Duration expectedRunTime)
{
    ++m_held[{branch, team}];
    if (!isShort)
        return;
    m_shortLoad = shortLoad(now) + seconds(expectedRunTime) / LoadSeconds;
    m_shortLoadAt = now;
}

void SlotShares::ended(const std::string &branch, const std::string &team)
{
    const auto position = m_held.find({branch, team});
    if (position != m_held.end() && --position->second == 0)
        m_held.erase(position);
}

std::uint32_t SlotShares::reservedSlots(TimePoint now, const PeerTable &peers,
                                        std::uint32_t slots) const
{
    const std::vector<Incarnation> others = peers.servingAgents();
    const double agents = static_cast<double>(others.size()) + 1;
    const double siteLoad = shortLoad(now) * agents;
    const double siteSlots = agents * slots;
    const auto reserved =
        static_cast<std::size_t>(std::min(std::lround(siteLoad * ReservedPerShortSlot),
                                          std::lround(std::floor(siteSlots * MaxReservedShare))));
    const auto rank = static_cast<std::size_t>(
        std::count_if(others.begin(), others.end(),
                      [&](Incarnation agent) { return agent < peers.self().incarnation; }));
    const std::size_t everywhere = reserved / (others.size() + 1);
    const std::size_t rest = reserved % (others.size() + 1);
    return static_cast<std::uint32_t>(everywhere + (rank < rest ? 1 : 0));
}

std::uint32_t SlotShares::teamAllowance(const std::string &branch, const std::string &team,
                                        std::uint32_t slots) const
{
    const BranchRule *rule = m_rules ? m_rules->findBranch(branch) : nullptr;
    if (rule == nullptr)
        return std::numeric_limits<std::uint32_t>::max();
    const auto quota = rule->teamQuotas.find(team);
    if (quota == rule->teamQuotas.end())
        return std::numeric_limits<std::uint32_t>::max();
    const auto allowed =
        static_cast<std::uint32_t>(std::max(1.0, std::ceil(quota->second * slots)));
    const auto held = m_held.find({branch, team});
    const std::uint32_t used = held == m_held.end() ? 0 : held->second;
    return allowed > used ? allowed - used : 0;
}

} // namespace Bluebellquay
