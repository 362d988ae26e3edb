// Guards against an agent that keeps too few links to reachable entries, dials too many, or closes
// a link with running work, while entries are added, stop answering and return.
#include "membership/entrylinks.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <set>
#include <string>

using namespace Bluebellquay;
using namespace std::chrono_literals;

namespace {

// An agent, the entries of one data centre, and what the agent does to its links.
class Agent
{
public:
    Agent()
        : m_links(LinkPlan("agent-1", "oita"))
    { }

    TimePoint now{1s};
    std::set<std::string> dialed;
    std::set<Incarnation> retired;
    std::set<Incarnation> busy;

    static EntryAddress entry(std::size_t number)
    {
        return {"entry-" + std::to_string(number), "oita", "10.0.0." + std::to_string(number), {}};
    }

    static ProcessInfo process(std::size_t number)
    {
        ProcessInfo info;
        info.incarnation = Incarnation(number + 1);
        info.role = ProcessRole::Entry;
        info.name = entry(number).name;
        info.dataCentre = entry(number).dataCentre;
        return info;
    }

    void appear(std::size_t number) { appear(entry(number)); }
    void appear(const EntryAddress &address)
    {
        EntryLinkOutbox out;
        m_links.addOrUpdate(now, address, out);
        carryOut(out);
    }

    void label(const std::string &label)
    {
        EntryLinkOutbox out;
        m_links.setLabels(now, {label}, out);
        carryOut(out);
    }

    void up(std::size_t number)
    {
        EntryLinkOutbox out;
        m_links.linkUp(now, process(number), out);
        carryOut(out);
    }

    void down(std::size_t number)
    {
        retired.erase(process(number).incarnation);
        m_links.linkDown(now, process(number).incarnation);
    }

    bool isDialed(std::size_t number) const { return dialed.contains(entry(number).address); }

    void pass(Duration span)
    {
        for (const TimePoint end = now + span; now < end; now += EntryLinks::CheckInterval) {
            EntryLinkOutbox out;
            m_links.check(
                now, [this](Incarnation home) { return !busy.contains(home); }, out);
            carryOut(out);
        }
    }

private:
    void carryOut(const EntryLinkOutbox &out)
    {
        for (const std::string &address : out.forget) {
            CHECK(dialed.erase(address) == 1);
            std::erase_if(retired, [&](Incarnation home) {
                return entry(home.value() - 1).address == address;
            });
        }
        for (const std::string &address : out.dial)
            CHECK(dialed.insert(address).second);
        for (const Incarnation home : out.retire)
            CHECK(retired.insert(home).second);
        for (const Incarnation home : out.restore)
            CHECK(retired.erase(home) == 1);
    }

    EntryLinks m_links;
};

struct Substitution
{
    // Dialled in place of the lost one.
    std::size_t substitute = 0;
    std::size_t lost = 0;
};

// Nine entries appear, and one of the eight that are linked falls silent for good.
Substitution loseOneOfNine(Agent &agent)
{
    constexpr std::size_t Entries = 9;
    for (std::size_t i = 0; i < Entries; ++i)
        agent.appear(i);
    Substitution result;
    for (std::size_t i = 0; i < Entries; ++i) {
        if (agent.isDialed(i))
            agent.up(i);
        else
            result.substitute = i;
    }
    result.lost = result.substitute == 0 ? 1 : 0;
    agent.down(result.lost);
    agent.pass(4s);
    return result;
}

} // namespace

TEST_CASE(
    "an entry that is silent for long is made up for, and the substitute goes when it is back")
{
    Agent agent;
    for (std::size_t i = 0; i < 12; ++i)
        agent.appear(i);
    REQUIRE(agent.dialed.size() == 8);
    std::vector<std::size_t> first;
    for (std::size_t i = 0; i < 12; ++i) {
        if (!agent.isDialed(i))
            continue;
        first.push_back(i);
        agent.up(i);
    }
    agent.down(first[0]);
    agent.pass(EntryLinks::UnreachableAfter - EntryLinks::CheckInterval);
    CHECK(agent.dialed.size() == 8);
    agent.pass(2s);
    // It is still dialled, beside its substitute.
    CHECK(agent.dialed.size() == 9);
    CHECK(agent.isDialed(first[0]));
    std::size_t substitute = 0;
    for (std::size_t i = 0; i < 12; ++i) {
        if (agent.isDialed(i) && std::find(first.begin(), first.end(), i) == first.end())
            substitute = i;
    }
    agent.up(substitute);
    const Incarnation home = Agent::process(substitute).incarnation;
    agent.busy.insert(home);
    agent.up(first[0]);
    CHECK(agent.retired == std::set<Incarnation>{home});
    // Its runs are finished first.
    agent.pass(10s);
    CHECK(agent.isDialed(substitute));
    agent.busy.clear();
    agent.pass(500ms);
    CHECK(agent.isDialed(substitute));
    agent.pass(1s);
    CHECK_FALSE(agent.isDialed(substitute));
    CHECK(agent.dialed.size() == 8);
}

TEST_CASE("a link that was to be closed is kept if its entry is wanted again")
{
    Agent agent;
    const auto [left, lost] = loseOneOfNine(agent);
    REQUIRE(agent.isDialed(left));
    agent.up(left);
    agent.up(lost);
    const Incarnation home = Agent::process(left).incarnation;
    REQUIRE(agent.retired.contains(home));
    agent.busy.insert(home);
    agent.down(lost);
    agent.pass(4s);
    CHECK(agent.retired.empty());
    CHECK(agent.isDialed(left));
}

TEST_CASE("a worker links to an entry that asks for its label, as long as it asks")
{
    Agent agent;
    for (std::size_t i = 0; i < 12; ++i)
        agent.appear(i);
    std::size_t other = 0;
    while (agent.isDialed(other))
        ++other;
    agent.label("accelerator");
    EntryAddress asking = Agent::entry(other);
    asking.wantedLabels = {"accelerator", "b"};
    agent.appear(asking);
    CHECK(agent.isDialed(other));
    CHECK(agent.dialed.size() == 9);
    agent.up(other);
    agent.appear(Agent::entry(other));
    agent.pass(2s);
    CHECK_FALSE(agent.isDialed(other));
}

TEST_CASE("a second row with the address of a linked entry does not cut the link to that entry")
{
    Agent agent;
    for (std::size_t i = 0; i < 12; ++i)
        agent.appear(i);
    std::vector<std::size_t> linked;
    for (std::size_t i = 0; i < 12; ++i) {
        if (agent.isDialed(i))
            linked.push_back(i);
    }
    for (const std::size_t i : linked) {
        agent.up(i);
        EntryAddress copy = Agent::entry(i);
        copy.name = "copy-" + std::to_string(i);
        agent.appear(copy);
    }
    for (int i = 0; i < 40; ++i) {
        agent.pass(500ms);
        for (const std::size_t entry : linked)
            CHECK(agent.isDialed(entry));
    }
}

TEST_CASE("a link that is lost while it is to be closed is dialled again for the last ends")
{
    Agent agent;
    const auto [left, lost] = loseOneOfNine(agent);
    agent.up(left);
    agent.up(lost);
    REQUIRE(agent.retired.contains(Agent::process(left).incarnation));
    agent.busy.insert(Agent::process(left).incarnation);
    agent.down(left);
    agent.pass(1s);
    CHECK(agent.isDialed(left));
    agent.busy.clear();
    agent.up(left);
    agent.pass(2s);
    CHECK_FALSE(agent.isDialed(left));
}

TEST_CASE("whatever happens, dialling is bounded and reachable entries are found")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        Agent agent;
        constexpr std::size_t Entries = 40;
        std::set<std::size_t> alive;
        std::set<std::size_t> linked;
        for (std::size_t i = 0; i < Entries; ++i) {
            agent.appear(i);
            alive.insert(i);
        }
        for (int step = 0; step < 400; ++step) {
            const std::size_t entry = random() % Entries;
            if (random() % 3 == 0 && alive.size() > 12) {
                alive.erase(entry);
                if (linked.erase(entry) > 0)
                    agent.down(entry);
            } else {
                alive.insert(entry);
            }
            for (const std::size_t other : alive) {
                if (agent.isDialed(other) && linked.insert(other).second)
                    agent.up(other);
            }
            agent.pass(500ms);
            std::erase_if(linked, [&](std::size_t other) { return !agent.isDialed(other); });
            CHECK(agent.dialed.size() <= 24);
        }
        // All that is needed is found once the entries keep still.
        for (int step = 0; step < 60; ++step) {
            for (const std::size_t other : alive) {
                if (agent.isDialed(other) && linked.insert(other).second)
                    agent.up(other);
            }
            agent.pass(500ms);
            std::erase_if(linked, [&](std::size_t other) { return !agent.isDialed(other); });
        }
        CHECK(linked.size() >= 8);
    }
}
