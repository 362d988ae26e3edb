// The rules in force: branch rules, limits and quotas, as the decision cores read them. Written by
// operators as one TOML document; see docs/CONFIGURATION.md.
#pragma once

#include "base/coretime.h"
#include "base/job.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace Bluebellquay {

// Rule of one kind of request of one branch.
struct KindRule
{
    Urgency urgency = Urgency::Normal;
    // An idempotent single request may be started again; nothing else ever is.
    bool idempotent = false;
    // The branch's exceptions may raise a submission of this kind to urgent.
    bool allowRaise = false;
    // Started tasks are stopped on cancel instead of left to finish.
    bool stopOnCancel = false;
    // Submissions of this kind must carry the sheet (Hinokuni) or pan (Maras) they refer to.
    bool requiresReference = false;
    // Used until run times have been observed; above zero.
    Duration expectedRunTime{200'000};
    // Deadline of a submission that declares none; above zero.
    Duration deadline{30'000'000};
    // Attempts at an idempotent request, the first one included; one to five.
    std::uint32_t maxAttempts = 2;
};

// Limits of one branch.
struct BranchRule
{
    std::map<std::string, KindRule, std::less<>> kinds;
    // Share of the slots that a team may hold while others wait, by team; (0, 1]. Teams without an
    // entry share alike.
    std::map<std::string, double, std::less<>> teamQuotas;
    // Submissions that wait for a first start at one home, by urgency class; above that, they
    // are refused with queue_full.
    std::array<std::uint32_t, UrgencyClasses> queueLimits{2'000, 2'000, 1'000};
    // Retries allowed for each first attempt, averaged over a window; 0 to 1.
    double retryBudget = 0.1;
};

// Invariant: every value is within the range that docs/CONFIGURATION.md gives.
struct RuleSet
{
    std::map<std::string, BranchRule, std::less<>> branches;
    // Data centres in which no work may be started.
    std::set<std::string, std::less<>> evacuated;

    const BranchRule *findBranch(std::string_view branch) const
    {
        const auto position = branches.find(branch);
        return position == branches.end() ? nullptr : &position->second;
    }

    // Returns null for an unknown branch or kind.
    const KindRule *findKind(std::string_view branch, std::string_view kind) const
    {
        const BranchRule *rule = findBranch(branch);
        if (rule == nullptr)
            return nullptr;
        const auto position = rule->kinds.find(kind);
        return position == rule->kinds.end() ? nullptr : &position->second;
    }
};

} // namespace Bluebellquay
