// Judges a chaos run by the upstreams' own start counts and by what the callers were told.
#pragma once

#include "process/chaosworkload.h"
#include "process/faultinjector.h"
#include "process/site.h"

#include <string>
#include <vector>

namespace Bluebellquay::Testing {

struct ChaosVerdict
{
    unsigned doubleStarts = 0;
    unsigned partialAnswers = 0;
    unsigned falseNotRun = 0;
    unsigned crossedAnswers = 0;
    // Final answers that changed under the same id.
    unsigned changedAnswers = 0;
    unsigned submissions = 0;
    unsigned completed = 0;
    // Submissions that no lost process held, and those of them that completed.
    unsigned untouched = 0;
    unsigned untouchedCompleted = 0;
    // One line for each violation and for each untouched submission that did not complete.
    std::vector<std::string> findings;

    double untouchedShare() const
    {
        return untouched == 0 ? 1.0 : static_cast<double>(untouchedCompleted) / untouched;
    }
};

ChaosVerdict judge(const Site &site, const std::vector<ChaosSubmission> &submissions,
                   const std::vector<LostProcess> &lost);

} // namespace Bluebellquay::Testing
