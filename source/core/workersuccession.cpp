#include "core/workersuccession.h"

#include <utility>

namespace Bluebellquay {

namespace {

bool agree(const WorkerProfile &one, const WorkerProfile &other)
{
    return one.service == other.service && one.address == other.address;
}

} // namespace

AnnouncementVerdict WorkerSuccession::announced(const WorkerProfile &profile,
                                                std::uint64_t sequence)
{
    if (!m_present || !(m_present->profile.identity == profile.identity))
        return AnnouncementVerdict::Probe;
    return update(profile, sequence);
}

AnnouncementVerdict WorkerSuccession::update(const WorkerProfile &profile, std::uint64_t sequence)
{
    if (!agree(profile, m_present->profile)) {
        const auto before = std::exchange(m_contradiction, profile);
        return before && agree(profile, *before) ? AnnouncementVerdict::Probe
                                                 : AnnouncementVerdict::Contradicts;
    }
    m_contradiction.reset();
    if (sequence < m_present->sequence)
        return AnnouncementVerdict::Late;
    m_present = Life{profile, sequence};
    return AnnouncementVerdict::Update;
}

bool WorkerSuccession::answered(const WorkerProfile &profile, std::uint64_t sequence,
                                const PresentLifeState &state)
{
    // Lives of one name, and those at one address, come one after the other.
    const bool succeeds = !m_present || m_present->profile.identity.name == profile.identity.name
        || m_present->profile.address == profile.address;
    if (!succeeds && state.holdsRuns && !state.leasesOver)
        return false;
    m_present = Life{profile, sequence};
    m_contradiction.reset();
    return true;
}

} // namespace Bluebellquay
