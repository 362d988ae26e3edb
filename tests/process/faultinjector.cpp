#include "process/faultinjector.h"

#include <csignal>
#include <iostream>
#include <thread>
#include <utility>

namespace Bluebellquay::Testing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds LongFreeze(5000); // longer than lost_timeout_ms of the chaos run
constexpr milliseconds ShortestFreeze(100);
constexpr std::size_t FreezeSpreadMs = 1400;
constexpr milliseconds ShortestPause(100);
constexpr std::size_t PauseSpreadMs = 400;

// Incarnation that the agent logged at its last start.
std::string lastIncarnation(const std::string &log)
{
    const std::string key = " incarnation=";
    const std::size_t event = log.rfind("event=agent_started");
    const std::size_t start = event == std::string::npos ? event : log.find(key, event);
    return start == std::string::npos ? std::string() : log.substr(start + key.size(), 16);
}

} // namespace

FaultInjector::FaultInjector(Site &site, std::uint64_t seed)
    : m_site(site)
    , m_random(seed)
{ }

std::size_t FaultInjector::below(std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
}

void FaultInjector::cause(const std::string &kind, const std::string &target)
{
    ++m_counts[kind];
    ++m_total;
    std::cerr << "fault " << m_total << " t=" << chaosSeconds(ChaosClock::now()) << ": " << kind
              << ' ' << target << '\n';
}

void FaultInjector::repairLater(milliseconds delay, std::function<void()> action)
{
    m_repairs.push_back({ChaosClock::now() + delay, std::move(action)});
}

void FaultInjector::repairDue(bool all)
{
    const auto now = ChaosClock::now();
    for (std::size_t i = 0; i < m_repairs.size();) {
        if (!all && m_repairs[i].due > now) {
            ++i;
            continue;
        }
        const auto action = std::move(m_repairs[i].action);
        m_repairs.erase(m_repairs.begin() + static_cast<std::ptrdiff_t>(i));
        action();
    }
}

void FaultInjector::heal()
{
    repairDue(true);
}

void FaultInjector::step()
{
    repairDue(false);
    switch (below(10)) {
    case 0:
    case 1:
        killAgent();
        break;
    case 2:
        killEntry();
        break;
    case 3:
        killUpstream();
        break;
    case 4:
        killTable();
        break;
    case 5:
    case 6:
        freeze();
        break;
    default:
        disturbLink();
        break;
    }
    std::this_thread::sleep_for(ShortestPause + milliseconds(below(PauseSpreadMs)));
}

void FaultInjector::killAgent()
{
    const auto number = static_cast<unsigned>(below(m_site.layout().agents));
    const std::string name = "agent-" + std::to_string(number);
    if (std::exchange(m_busy[name], true))
        return;
    m_lost.push_back({true, number, ChaosClock::now(), lastIncarnation(m_site.log(name))});
    m_site.agent(number).kill();
    cause("kill_agent", name);
    repairLater(milliseconds(below(1000)), [this, number, name] {
        m_site.startAgent(number);
        m_busy[name] = false;
    });
}

void FaultInjector::killEntry()
{
    const auto number = static_cast<unsigned>(below(m_site.layout().entries));
    const std::string name = "entry-" + std::to_string(number);
    if (std::exchange(m_busy[name], true))
        return;
    m_site.entry(number).kill();
    cause("kill_entry", name);
    repairLater(milliseconds(below(1000)), [this, number, name] {
        m_site.startEntry(number);
        m_busy[name] = false;
    });
}

void FaultInjector::killUpstream()
{
    const auto number = static_cast<unsigned>(below(m_site.layout().agents));
    const std::string name = "upstream-" + std::to_string(number);
    if (std::exchange(m_busy[name], true))
        return;
    m_lost.push_back({false, number, ChaosClock::now(), {}});
    m_site.upstream(number).kill();
    cause("kill_upstream", name);
    repairLater(milliseconds(below(1000)), [this, number, name] {
        m_site.startUpstream(number);
        m_busy[name] = false;
    });
}

// The stand-in keeps its rows in memory, so its outage is a freeze and not a kill.
void FaultInjector::killTable()
{
    if (std::exchange(m_busy["table"], true))
        return;
    m_site.table().signal(SIGSTOP);
    cause("freeze_table", "table");
    repairLater(milliseconds(500 + below(4000)), [this] {
        m_site.table().signal(SIGCONT);
        m_busy["table"] = false;
    });
}

void FaultInjector::freeze()
{
    const std::size_t kind = below(3);
    const unsigned limit = kind == 0 ? m_site.layout().entries : m_site.layout().agents;
    const auto number = static_cast<unsigned>(below(limit));
    static constexpr const char *Kinds[] = {"entry", "agent", "upstream"};
    const std::string name = std::string(Kinds[kind]) + "-" + std::to_string(number);
    if (std::exchange(m_busy[name], true))
        return;
    const bool isLong = below(8) == 0;
    const milliseconds length =
        isLong ? LongFreeze : ShortestFreeze + milliseconds(below(FreezeSpreadMs));
    if (isLong && kind != 0)
        m_lost.push_back({kind == 1, number, ChaosClock::now(), {}});
    ChildProcess &process = kind == 0 ? m_site.entry(number)
        : kind == 1                   ? m_site.agent(number)
                                      : m_site.upstream(number);
    process.signal(SIGSTOP);
    cause(isLong ? "long_freeze" : "freeze", name);
    repairLater(length, [this, name, &process] {
        process.signal(SIGCONT);
        m_busy[name] = false;
    });
}

void FaultInjector::disturbLink()
{
    const bool entry = below(3) == 0;
    const std::string relay = entry ? "entry-" + std::to_string(below(m_site.layout().entries))
                                    : "agent-" + std::to_string(below(m_site.layout().agents));
    static constexpr const char *Commands[] = {
        "cut", "stall", "silence up", "silence down", "silence both", "delay", "reset"};
    const std::string command = Commands[below(std::size(Commands))];
    const std::string verb = command.substr(0, command.find(' '));
    std::string text = verb + " " + relay + command.substr(verb.size());
    if (verb == "delay")
        text += " " + std::to_string(1 + below(200));
    m_site.linkCommand(text);
    cause("link_" + verb, relay);
    repairLater(milliseconds(100 + below(2000)),
                [this, relay] { m_site.linkCommand("pass " + relay); });
}

} // namespace Bluebellquay::Testing
