// Shares of an agent's slots: the quotas of teams, and the slots that long work may not use. The
// number of such slots follows the demand of short and urgent work on the whole site; the agents
// with the lowest incarnations hold one each.
#pragma once

#include "base/messages.h"
#include "config/ruleset.h"
#include "core/peertable.h"

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace Bluebellquay {

class SlotShares
{
public:
    void setRules(std::shared_ptr<const RuleSet> rules) { m_rules = std::move(rules); }

    // A short or urgent request, or else a task of long work.
    static bool isShort(const Reserve &offer);

    void started(TimePoint now, const std::string &branch, const std::string &team, bool isShort,
                 Duration expectedRunTime);
    void ended(const std::string &branch, const std::string &team);
    void reset() { m_held.clear(); }

    // Slots of this agent that long work may not use now.
    std::uint32_t reservedSlots(TimePoint now, const PeerTable &peers, std::uint32_t slots) const;
    // Tasks that the team may start in addition, if others wait for slots.
    std::uint32_t teamAllowance(const std::string &branch, const std::string &team,
                                std::uint32_t slots) const;

private:
    double shortLoad(TimePoint now) const;

    std::shared_ptr<const RuleSet> m_rules;
    // Slots held by team; entries with zero are removed.
    std::map<std::pair<std::string, std::string>, std::uint32_t> m_held;
    // Slots that short work keeps busy here, as an exponential average.
    double m_shortLoad = 0;
    TimePoint m_shortLoadAt{};
};

} // namespace Bluebellquay
