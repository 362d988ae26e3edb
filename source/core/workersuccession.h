// Decides which life of the worker beside an agent is the present one. Announcements may be late,
// and may come from other writers, so one that names another life than the present one proves
// nothing: it takes the place of the present life only after it has answered a call, and only if
// that life can't run anything any more or has nothing to run.
//
// Does no I/O: its owner calls the announced life.
#pragma once

#include "base/coretime.h"
#include "core/workercalls.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Bluebellquay {

enum class AnnouncementVerdict : std::uint8_t {
    Late,        // an earlier announcement of the present life
    Contradicts, // gives the present life another service or address than it has
    Update,      // of the present life
    Probe,       // of a life that is to be asked whether it is there
};

// What the agent knows of the present life when another one has answered.
struct PresentLifeState
{
    // No run that was sent to it may be alive.
    bool holdsRuns = false;
    // Every lease that it may have got has run out.
    bool leasesOver = false;
};

class WorkerSuccession
{
public:
    AnnouncementVerdict announced(TimePoint now, const WorkerProfile &profile,
                                  std::uint64_t sequence);
    // The announced life has answered as announced. Returns whether it is the present one now.
    bool answered(const WorkerProfile &profile, std::uint64_t sequence,
                  const PresentLifeState &state);
    // The present life has gone.
    void ended() { m_present.reset(); }

    bool isPresent(std::string_view name) const
    {
        return m_present && m_present->profile.identity.name == name;
    }
    // Null if no life has answered yet.
    const WorkerProfile *present() const { return m_present ? &m_present->profile : nullptr; }

private:
    // A life that has answered.
    struct Life
    {
        WorkerProfile profile;
        // Sequence number of its latest announcement.
        std::uint64_t sequence = 0;
    };

    AnnouncementVerdict update(TimePoint now, const WorkerProfile &profile, std::uint64_t sequence);
    // Whether an announcement with a lower number than the latest one shows that the latest came
    // from another writer.
    bool exposesLatest(TimePoint now, std::uint64_t sequence);

    // An announcement that counts as late.
    struct LateAnnouncement
    {
        TimePoint at;
        std::uint64_t sequence = 0;
    };

    std::optional<Life> m_present;
    // Arrived after the latest announcement of the present life.
    std::optional<LateAnnouncement> m_late;
    // The announcement before this one, if it contradicted the present life: if the next one says
    // the same, it was the earlier ones that another writer has sent.
    std::optional<WorkerProfile> m_contradiction;
};

} // namespace Bluebellquay
