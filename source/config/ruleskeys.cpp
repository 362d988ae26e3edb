#include "config/ruleskeys.h"

#include "config/valuetypes.h"

namespace Bluebellquay {

namespace {

// Bounds what a document can make every process keep in memory.
constexpr std::size_t MaxBranches = 64;
constexpr std::size_t MaxKinds = 1'000;
constexpr std::size_t MaxTeams = 10'000;
constexpr std::size_t MaxDataCentres = 500;

// Reports names that can't be used in logs, labels and ids, and a table with too many or no
// entries. Returns the table if its entries can be read.
const toml::table *namedEntries(const toml::node &node, const ConfigPlace &place,
                                const KeyDescription &description, std::size_t min, std::size_t max)
{
    const toml::table *table = node.as_table();
    if (table == nullptr) {
        reportUnexpected(node, place, description);
        return nullptr;
    }
    if (table->size() < min || table->size() > max) {
        place.report(node, "has " + std::to_string(table->size()) + " entries",
                     "use: " + expectation(description));
        return nullptr;
    }
    for (const auto &[key, value] : *table) {
        if (!isName(key.str()))
            place.child(key.str()).report(value, "is not a valid name",
                                          "use: " + expectation(NameValue().describe()));
    }
    return table;
}

// Table whose entries are tables with the same keys.
template <typename Entry>
struct TableMap
{
    using Value = std::map<std::string, Entry, std::less<>>;
    std::vector<ConfigKey<Entry>> keys;
    std::size_t max;

    KeyDescription describe() const
    {
        return {"", "table", "", "1 to " + std::to_string(max) + " tables", "", ""};
    }
    std::optional<Value> read(const toml::node &node, const ConfigPlace &place) const
    {
        const toml::table *table = namedEntries(node, place, describe(), 1, max);
        if (table == nullptr)
            return std::nullopt;
        Value entries;
        for (const auto &[key, value] : *table) {
            const ConfigPlace entryPlace = place.child(key.str());
            if (const toml::table *entry = value.as_table())
                entryPlace.reader().readTable(*entry, entryPlace, keys,
                                              entries[std::string(key.str())]);
            else
                entryPlace.report(value, "is not a table",
                                  "write it as a table of its own, in brackets");
        }
        return entries;
    }
    std::string toText(const Value &) const { return "{}"; }
};

// Table whose entries are shares.
struct ShareMap
{
    using Value = std::map<std::string, double, std::less<>>;
    std::size_t max;

    KeyDescription describe() const
    {
        return {"", "table",
                "", "up to " + std::to_string(max) + " numbers, each above 0, at most 1",
                "", ""};
    }
    std::optional<Value> read(const toml::node &node, const ConfigPlace &place) const
    {
        const toml::table *table = namedEntries(node, place, describe(), 0, max);
        if (table == nullptr)
            return std::nullopt;
        Value shares;
        for (const auto &[key, value] : *table) {
            if (const auto share = ShareValue{false}.read(value, place.child(key.str())))
                shares[std::string(key.str())] = *share;
        }
        return shares;
    }
    std::string toText(const Value &) const { return "{}"; }
};

// Distinct names.
struct NameSet
{
    using Value = std::set<std::string, std::less<>>;
    std::size_t max;

    KeyDescription describe() const
    {
        return {"", "array", "", "up to " + std::to_string(max) + " names", "", ""};
    }
    std::optional<Value> read(const toml::node &node, const ConfigPlace &place) const
    {
        const toml::array *array = node.as_array();
        if (array == nullptr || array->size() > max) {
            reportUnexpected(node, place, describe());
            return std::nullopt;
        }
        Value names;
        for (const toml::node &element : *array) {
            if (auto name = NameValue().read(element, place))
                names.insert(std::move(*name));
        }
        return names;
    }
    std::string toText(const Value &) const { return "[]"; }
};

auto queueLimit(Urgency urgency)
{
    return [position = static_cast<std::size_t>(urgency)](BranchRule &rule) -> std::uint32_t & {
        return rule.queueLimits[position];
    };
}

} // namespace

std::vector<ConfigKey<KindRule>> kindKeys()
{
    using enum Presence;
    const ChoiceValue<Urgency> urgencies{{{Urgency::Urgent, "urgent"},
                                          {Urgency::Normal, "normal"},
                                          {Urgency::Background, "background"}}};
    // Urgency and idempotence have no safe default: each kind must say them.
    return {
        configKey<KindRule>("urgency", urgencies, &KindRule::urgency, Required,
                            "Urgency class; a higher class is started first, apart from ageing."),
        configKey<KindRule>(
            "idempotent", BooleanValue(), &KindRule::idempotent, Required,
            "Whether a single request may be started again after a failure. False means at "
            "most once. A task of a job of several tasks is never started again."),
        configKey<KindRule>(
            "allow_raise", BooleanValue(), &KindRule::allowRaise, Optional,
            "Whether the branch's exceptions (`panel_open`, `families_waiting`) raise a "
            "submission to urgent."),
        configKey<KindRule>(
            "stop_on_cancel", BooleanValue(), &KindRule::stopOnCancel, Optional,
            "Whether started tasks are stopped on cancel instead of left to finish."),
        configKey<KindRule>(
            "requires_reference", BooleanValue(), &KindRule::requiresReference, Optional,
            "Whether a submission must carry the sheet and revision (Hinokuni) or the member "
            "and pan (Maras) that it refers to."),
        configKey<KindRule>("expected_run_ms", MillisecondsValue{1, 3'600'000},
                            &KindRule::expectedRunTime, Optional,
                            "Run time of one task that is assumed until some were observed."),
        configKey<KindRule>(
            "deadline_ms", MillisecondsValue{1, 86'400'000}, &KindRule::deadline, Optional,
            "Deadline of a submission that declares none, from its arrival at its home."),
        configKey<KindRule>(
            "max_attempts", IntegerValue<std::uint32_t>{1, 5, "attempts"}, &KindRule::maxAttempts,
            Optional,
            "Attempts at an idempotent single request, the first one included; without "
            "effect on other submissions."),
    };
}

std::vector<ConfigKey<BranchRule>> branchKeys()
{
    using enum Presence;
    const IntegerValue<std::uint32_t> limit{1, 1'000'000, "submissions"};
    const std::string limitEffect = " submissions that may wait for a first start at one home; "
                                    "further ones are refused with `queue_full`.";
    return {
        configKey<BranchRule>("queue_limit_urgent", limit, queueLimit(Urgency::Urgent), Optional,
                              "Urgent" + limitEffect),
        configKey<BranchRule>("queue_limit_normal", limit, queueLimit(Urgency::Normal), Optional,
                              "Normal" + limitEffect),
        configKey<BranchRule>("queue_limit_background", limit, queueLimit(Urgency::Background),
                              Optional, "Background" + limitEffect),
        configKey<BranchRule>("retry_budget", ShareValue(), &BranchRule::retryBudget, Optional,
                              "Retries allowed for each first attempt, averaged over a window."),
        configKey<BranchRule>(
            "team_quota", ShareMap{MaxTeams}, &BranchRule::teamQuotas, Optional,
            "Share of the slots that a team may hold while others wait, by team. Teams "
            "without an entry share alike."),
        configKey<BranchRule>(
            "kind", TableMap<KindRule>{kindKeys(), MaxKinds}, &BranchRule::kinds, Required,
            "Kinds of request of the branch; others are refused with `unknown_kind`."),
    };
}

std::vector<ConfigKey<RuleSet>> rulesKeys()
{
    return {configKey<RuleSet>("branch", TableMap<BranchRule>{branchKeys(), MaxBranches},
                               &RuleSet::branches, Presence::Required,
                               "Branches, by the name that jobs give; other names are refused."),
            configKey<RuleSet>("evacuated", NameSet{MaxDataCentres}, &RuleSet::evacuated,
                               Presence::Optional,
                               "Data centres in which no work is started. What runs there ends "
                               "there.")};
}

} // namespace Bluebellquay
