// Divides the room of one worker between the homes that order from it. Called by the agent that
// owns the worker: it sees what every home takes without any further message, and tells each home
// its share with the reports that it sends anyway. Homes count on their shares when they refuse
// jobs and when they keep room for urgent ones; no share bounds what a home may order.
//
// The load is demand that differs between homes, since callers are spread unevenly, and that moves
// from home to home within seconds. With equal shares one home refuses while the room of another
// stands free.
//
// A home that takes less than an equal share lends the rest to those that take more. Nothing has to
// be asked for or given back: a loan lasts as long as the averages that it follows, and ends by
// itself, half of it within 350 ms, when the lender takes its room again, when the borrower needs
// it no more, or when one of them is gone. An agent that starts anew begins with equal shares.
#pragma once

#include "base/coretime.h"
#include "base/submissionid.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace Bluebellquay {

class RoomShares
{
public:
    // 500 ms. Shorter than the crests, which last seconds, and longer than most tasks.
    static constexpr Duration AveragingTime{500'000};
    // A home that takes nothing keeps this part of an equal share, so that it does not refuse the
    // first jobs of a burst.
    static constexpr double KeptPart = 0.25;

    void homeUp(Incarnation home) { m_use.try_emplace(home); }
    void homeGone(Incarnation home) { m_use.erase(home); }
    // The runs of the home hold these processors from now on, in thousandths.
    void holds(TimePoint now, Incarnation home, std::uint64_t milliProcessors);

    // The home's part of the worker, which has these processors, in thousandths. The parts of all
    // homes add up to 1. An equal part for a home that is not known.
    double shareOf(TimePoint now, Incarnation home, std::uint32_t milliProcessors) const;

private:
    // Processors that the runs of a home hold, in thousandths, with their average.
    struct Use
    {
        double present = 0;
        double average = 0;
        TimePoint at{};

        double averageAt(TimePoint now) const;
    };

    std::map<Incarnation, Use> m_use;
};

// A share as reports tell it: as a number of homes with equal shares. Rounded down or up in turn,
// as the turn's number says, so that the mean of what many reports tell is the share; a home adds
// up those of many agents.
std::uint32_t equalHomes(double share, std::uint64_t turn);

} // namespace Bluebellquay
