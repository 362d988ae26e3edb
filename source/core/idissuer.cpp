#include "core/idissuer.h"

#include <algorithm>
#include <numeric>

namespace Bluebellquay {

namespace {

// What a home farther away costs each of its callers, by tier: round trips within a data centre, a
// region and between regions.
constexpr std::array<Duration, 3> DistanceCost{Duration(0), Duration(4'000), Duration(40'000)};

// Weight of one task per slot that runs or waits at the home, for homes that expect no wait.
constexpr std::int64_t CostPerTask = 10'000; // microseconds

std::int64_t outstandingTasks(const KnownProcess &process)
{
    const AgentLoad &load = process.load;
    const auto queued =
        std::accumulate(load.queued.begin(), load.queued.end(), std::int64_t(0), std::plus<>());
    const auto busy = static_cast<std::int64_t>(load.slots) - load.freeSlots;
    return queued + busy + process.issuedSinceHeartbeat;
}

bool hasFreeSlot(const KnownProcess &process)
{
    return outstandingTasks(process) < static_cast<std::int64_t>(process.load.slots);
}

// In microseconds; comparable between agents of all tiers.
std::int64_t cost(const KnownProcess &process, std::size_t tier)
{
    const auto slots = std::max<std::int64_t>(1, process.load.slots);
    return DistanceCost[tier].count() + process.load.expectedWait.count()
        + outstandingTasks(process) * CostPerTask / slots;
}

} // namespace

IdIssuer::IdIssuer(std::string dataCentre, std::string region, NonceSource nonces,
                   std::uint64_t seed)
    : m_dataCentre(std::move(dataCentre))
    , m_region(std::move(region))
    , m_nonces(std::move(nonces))
    , m_random(seed)
{ }

std::optional<SubmissionId> IdIssuer::issue(ProcessDirectory &directory)
{
    if (m_builtRevision != directory.servingRevision())
        rebuild(directory);
    KnownProcess *chosen = nullptr;
    std::int64_t lowest = 0;
    for (std::size_t tier = 0; tier < Tiers; ++tier) {
        KnownProcess *candidate = pickLessLoaded(tier);
        if (candidate == nullptr)
            continue;
        const std::int64_t candidateCost = cost(*candidate, tier);
        if (chosen == nullptr || candidateCost < lowest) {
            chosen = candidate;
            lowest = candidateCost;
        }
        // Homes farther away are considered only if the nearer ones have no free slot.
        if (hasFreeSlot(*chosen))
            break;
    }
    if (chosen == nullptr)
        return std::nullopt;
    ++chosen->issuedSinceHeartbeat;
    return SubmissionId(chosen->info.incarnation, chosen->issuePeriod, m_nonces());
}

void IdIssuer::rebuild(ProcessDirectory &directory)
{
    for (auto &tier : m_tiers)
        tier.clear();
    for (KnownProcess *process : directory.serving())
        m_tiers[tierOf(process->info)].push_back(process);
    // The directory has no order; choices have to follow from the seed alone.
    for (auto &tier : m_tiers) {
        std::sort(tier.begin(), tier.end(), [](const KnownProcess *a, const KnownProcess *b) {
            return a->info.incarnation < b->info.incarnation;
        });
    }
    m_builtRevision = directory.servingRevision();
}

std::size_t IdIssuer::tierOf(const ProcessInfo &process) const
{
    if (process.dataCentre == m_dataCentre)
        return 0;
    return process.region == m_region ? 1 : 2;
}

KnownProcess *IdIssuer::pickLessLoaded(std::size_t tier)
{
    const std::vector<KnownProcess *> &candidates = m_tiers[tier];
    if (candidates.empty())
        return nullptr;
    if (candidates.size() == 1)
        return candidates.front();
    const std::uint64_t first = randomBelow(candidates.size());
    std::uint64_t second = randomBelow(candidates.size() - 1);
    if (second >= first)
        ++second;
    KnownProcess *a = candidates[first];
    KnownProcess *b = candidates[second];
    return cost(*b, tier) < cost(*a, tier) ? b : a;
}

std::uint64_t IdIssuer::randomBelow(std::uint64_t bound)
{
    // The bias of the remainder is negligible for a few thousand agents.
    return m_random() % bound;
}

} // namespace Bluebellquay
