// Decides to which entries an agent keeps network links, as entries are added, are removed and
// become unreachable. An entry is the home of the keyed jobs it accepted: it sends the agent run
// orders.
//
// A link that the plan no longer includes is retired before it is closed, since it may still carry
// orders and runs: its home is told that the worker takes no more orders from it, and the link is
// closed when none of the home's runs is left.
//
// This class does no I/O and reads no clock: its caller passes events and the time, and carries out
// the actions in EntryLinkOutbox.
#pragma once

#include "base/messages.h"
#include "membership/linkplan.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Bluebellquay {

// An entry as the directory names it.
struct EntryAddress
{
    std::string name;
    std::string dataCentre;
    std::string address;
    // Agents whose worker has one of these labels link to the entry whatever their plan says: the
    // entry has tasks that need the label and knows no worker that has it.
    std::set<std::string> wantedLabels;

    friend bool operator==(const EntryAddress &, const EntryAddress &) = default;
};

struct EntryLinkOutbox
{
    // Addresses (host:port) to connect to, and addresses whose connection is given up.
    std::vector<std::string> dial;
    std::vector<std::string> forget;
    // Homes to be told that the worker takes no more orders from them, and retired homes to be told
    // that it takes orders again.
    std::vector<Incarnation> retire;
    std::vector<Incarnation> restore;
};

class EntryLinks
{
public:
    // An entry without a link counts as unreachable after this time; a restart takes less.
    static constexpr Duration UnreachableAfter{3'000'000};
    // An entry that was given up as unreachable is not tried again for this long.
    static constexpr Duration RedialDelay{10'000'000};
    // Delay from the message that retires a home, or from the end of the home's last run if that is
    // later, until the link is closed. Orders that the home sent before and the report of that end
    // arrive within this time.
    static constexpr Duration RetiredLinkCloseDelay{1'000'000};
    static constexpr Duration CheckInterval{500'000};

    // Returns true if no run of this home is left at the agent.
    using IdleCheck = std::function<bool(Incarnation home)>;

    explicit EntryLinks(LinkPlan plan);

    // Adds an entry, or updates a known entry, for example when its wanted labels changed.
    void addOrUpdate(TimePoint now, const EntryAddress &entry, EntryLinkOutbox &out);
    // Sets the labels of the worker that this agent serves.
    void setLabels(TimePoint now, std::set<std::string> labels, EntryLinkOutbox &out);
    void remove(TimePoint now, const std::string &name, EntryLinkOutbox &out);
    void linkUp(TimePoint now, const ProcessInfo &entry, EntryLinkOutbox &out);
    void linkDown(TimePoint now, Incarnation entry);
    // To be called once each CheckInterval.
    void check(TimePoint now, const IdleCheck &idle, EntryLinkOutbox &out);

    std::size_t known() const { return m_entries.size(); }
    // Entries that are dialled or linked.
    std::size_t dialed() const;

private:
    struct Entry
    {
        EntryAddress address;
        bool dialed = false;
        std::optional<Incarnation> link;
        // Whether a link was established since the entry was last dialled.
        bool wasLinked = false;
        // When the entry was added, dialling began or the link was lost, whichever is latest; not
        // used while linked.
        TimePoint unlinkedSince{};
        // Set while the link is retired: when the home was told, or when it was last seen to have a
        // run, whichever is later.
        std::optional<TimePoint> retiredAt;
        // The entry counts as unreachable until this time while it is not dialled.
        TimePoint avoidedUntil{};
    };

    bool wantsOurLabels(const EntryAddress &entry) const;
    static bool reachable(TimePoint now, const Entry &entry);
    void replan(TimePoint now, EntryLinkOutbox &out);
    void keepLink(TimePoint now, Entry &entry, EntryLinkOutbox &out) const;
    void retireLink(TimePoint now, Entry &entry, EntryLinkOutbox &out) const;
    void close(Entry &entry, EntryLinkOutbox &out) const;
    // Rows of several names may have one address, for example that of a replaced entry. They share
    // one connection, which lasts as long as one of them is dialled; once it is up, the others are
    // left out of the plan.
    bool addressDialed(const std::string &address) const;

    LinkPlan m_plan;
    std::set<std::string> m_labels;
    // Key: name of the entry.
    std::map<std::string, Entry> m_entries;
};

} // namespace Bluebellquay
