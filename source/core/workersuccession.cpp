#include "core/workersuccession.h"

#include <utility>

namespace Bluebellquay {

namespace {

// Announcements that were held back arrive together; a worker's own are further apart than this.
constexpr Duration ShortestAnnouncementGap{300'000};

bool agree(const WorkerProfile &one, const WorkerProfile &other)
{
    return one.service == other.service && one.address == other.address;
}

} // namespace

AnnouncementVerdict WorkerSuccession::announced(TimePoint now, const WorkerProfile &profile,
                                                std::uint64_t sequence)
{
    if (!m_present || !(m_present->profile.identity == profile.identity))
        return AnnouncementVerdict::Probe;
    return update(now, profile, sequence);
}

AnnouncementVerdict WorkerSuccession::update(TimePoint now, const WorkerProfile &profile,
                                             std::uint64_t sequence)
{
    if (!agree(profile, m_present->profile)) {
        const auto before = std::exchange(m_contradiction, profile);
        return before && agree(profile, *before) ? AnnouncementVerdict::Probe
                                                 : AnnouncementVerdict::Contradicts;
    }
    m_contradiction.reset();
    if (sequence < m_present->sequence && !exposesLatest(now, sequence))
        return AnnouncementVerdict::Late;
    m_present = Life{profile, sequence};
    m_late.reset();
    return AnnouncementVerdict::Update;
}

bool WorkerSuccession::exposesLatest(TimePoint now, std::uint64_t sequence)
{
    // The worker goes on counting from its own number, and nothing follows the other one.
    if (m_late && sequence > m_late->sequence)
        return now >= m_late->at + ShortestAnnouncementGap;
    m_late = LateAnnouncement{now, sequence};
    return false;
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
    m_late.reset();
    return true;
}

} // namespace Bluebellquay
