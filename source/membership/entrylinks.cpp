#include "membership/entrylinks.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Bluebellquay {

EntryLinks::EntryLinks(LinkPlan plan)
    : m_plan(std::move(plan))
{ }

void EntryLinks::addOrUpdate(TimePoint now, const EntryAddress &entry, EntryLinkOutbox &out)
{
    const auto known = m_entries.find(entry.name);
    if (known != m_entries.end() && known->second.address.address == entry.address) {
        known->second.address = entry;
        return replan(now, out);
    }
    if (known != m_entries.end())
        close(known->second, out);
    Entry &added = m_entries[entry.name];
    added = Entry();
    added.address = entry;
    added.unlinkedSince = now;
    replan(now, out);
}

void EntryLinks::remove(TimePoint now, const std::string &name, EntryLinkOutbox &out)
{
    const auto position = m_entries.find(name);
    if (position == m_entries.end())
        return;
    close(position->second, out);
    m_entries.erase(position);
    replan(now, out);
}

void EntryLinks::setLabels(TimePoint now, std::set<std::string> labels, EntryLinkOutbox &out)
{
    if (labels == m_labels)
        return;
    m_labels = std::move(labels);
    replan(now, out);
}

bool EntryLinks::wantsOurLabels(const EntryAddress &entry) const
{
    return std::any_of(entry.wantedLabels.begin(), entry.wantedLabels.end(),
                       [this](const std::string &label) { return m_labels.contains(label); });
}

void EntryLinks::linkUp(TimePoint now, const ProcessInfo &entry, EntryLinkOutbox &out)
{
    const auto position = m_entries.find(entry.name);
    if (position == m_entries.end())
        return;
    Entry &linked = position->second;
    linked.link = entry.incarnation;
    linked.wasLinked = true;
    // A restarted home has not been told that the link was retired.
    linked.retiredAt.reset();
    replan(now, out);
}

void EntryLinks::linkDown(TimePoint now, Incarnation entry)
{
    for (auto &[name, known] : m_entries) {
        if (known.link != entry)
            continue;
        known.link.reset();
        known.retiredAt.reset();
        known.unlinkedSince = now;
    }
}

void EntryLinks::check(TimePoint now, const IdleCheck &idle, EntryLinkOutbox &out)
{
    replan(now, out);
    for (auto &[name, entry] : m_entries) {
        if (!entry.retiredAt)
            continue;
        if (!idle(*entry.link))
            entry.retiredAt = now;
        else if (now >= *entry.retiredAt + RetiredLinkCloseDelay)
            close(entry, out);
    }
}

std::size_t EntryLinks::dialed() const
{
    return static_cast<std::size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [](const auto &item) { return item.second.dialed; }));
}

bool EntryLinks::reachable(TimePoint now, const Entry &entry)
{
    if (entry.link)
        return true;
    return entry.dialed ? now < entry.unlinkedSince + UnreachableAfter : now >= entry.avoidedUntil;
}

void EntryLinks::replan(TimePoint now, EntryLinkOutbox &out)
{
    std::set<std::string> linked;
    for (const auto &[name, entry] : m_entries) {
        if (entry.link)
            linked.insert(entry.address.address);
    }
    const auto reachedAsOther = [&linked](const Entry &entry) {
        return !entry.link && linked.contains(entry.address.address);
    };
    std::vector<LinkCandidate> candidates;
    for (const auto &[name, entry] : m_entries) {
        if (reachedAsOther(entry))
            continue;
        candidates.push_back({name, entry.address.dataCentre, reachable(now, entry)});
    }
    const std::set<std::string> chosen = m_plan.choose(candidates);
    for (auto &[name, entry] : m_entries) {
        if (chosen.contains(name) || (wantsOurLabels(entry.address) && !reachedAsOther(entry)))
            keepLink(now, entry, out);
        else
            retireLink(now, entry, out);
    }
}

void EntryLinks::keepLink(TimePoint now, Entry &entry, EntryLinkOutbox &out) const
{
    if (entry.retiredAt) {
        entry.retiredAt.reset();
        out.restore.push_back(*entry.link);
    }
    if (entry.dialed)
        return;
    const bool connecting = addressDialed(entry.address.address);
    entry.dialed = true;
    entry.unlinkedSince = now;
    if (!connecting)
        out.dial.push_back(entry.address.address);
}

void EntryLinks::retireLink(TimePoint now, Entry &entry, EntryLinkOutbox &out) const
{
    if (!entry.dialed || entry.retiredAt)
        return;
    if (!entry.link) {
        // Keeps dialling: the home may have missed the reports of the last runs that ended, and
        // asks for them when the link is back.
        if (entry.wasLinked && reachable(now, entry))
            return;
        if (!reachable(now, entry))
            entry.avoidedUntil = now + RedialDelay;
        return close(entry, out);
    }
    entry.retiredAt = now;
    out.retire.push_back(*entry.link);
}

void EntryLinks::close(Entry &entry, EntryLinkOutbox &out) const
{
    if (!entry.dialed)
        return;
    entry.dialed = false;
    entry.wasLinked = false;
    entry.link.reset();
    entry.retiredAt.reset();
    if (!addressDialed(entry.address.address))
        out.forget.push_back(entry.address.address);
}

bool EntryLinks::addressDialed(const std::string &address) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        return item.second.dialed && item.second.address.address == address;
    });
}

} // namespace Bluebellquay
