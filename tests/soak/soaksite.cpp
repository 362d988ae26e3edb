#include "soak/soaksite.h"

#include <csignal>
#include <ctime>
#include <utility>

namespace Bluebellquay::Testing {

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr const char *EvacuationRow = "evacuate/centre-0";
// The second route is the more urgent one.
const char *const Config =
    R"({"version":%,"routes":[{"name":"r-1","host":"a.example","pathPrefix":"/x/","type":"unsafe",)"
    R"("timeoutMs":1500,"objectiveMs":60,"priority":1,"service":"archive","maxAttempts":3,)"
    R"("slackFactor":1.6},{"name":"r-2","host":"a.example","pathPrefix":"/y/","type":"unsafe",)"
    R"("timeoutMs":1500,"objectiveMs":60,"priority":0,"service":"archive","maxAttempts":3,)"
    R"("slackFactor":1.6}],"services":[],"limits":{}})";

} // namespace

SoakSite::SoakSite(std::string folder, std::uint64_t seed, std::size_t entries, std::size_t agents,
                   std::string extraSettings)
    : m_folder(std::move(folder))
    , m_extraSettings(std::move(extraSettings))
    , m_seed(seed)
    , m_timers(m_context)
    , m_events(m_folder + "/events.log")
    , m_store(m_context, m_timers, seed)
{
    m_events << std::unitbuf;
    m_judge.observe([this](const std::string &text) { note(text); });
    putConfig(1);
    for (std::size_t i = 0; i < entries; ++i)
        addEntry(i);
    for (std::size_t i = 0; i < agents; ++i)
        addAgent(i);
}

Tcp::endpoint SoakSite::loopback(unsigned short port)
{
    return {boost::asio::ip::address_v4::loopback(), port};
}

void SoakSite::note(const std::string &text)
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto sinceEpoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    char clock[16];
    std::strftime(clock, sizeof clock, "%H:%M:%S", std::gmtime(&seconds));
    char milliseconds[8];
    std::snprintf(milliseconds, sizeof milliseconds, ".%03d",
                  static_cast<int>(sinceEpoch.count() % 1'000));
    m_events << clock << milliseconds << ' ' << text << '\n';
}

void SoakSite::pass(Duration span)
{
    m_context.restart();
    m_context.run_for(span);
}

SoakProcess &SoakSite::addProcess(SoakProcesses &processes, const std::string &name,
                                  const std::string &dataCentre)
{
    auto process = std::make_unique<SoakProcess>();
    process->name = name;
    process->peerPort = m_ports.next();
    process->otherPort = m_ports.next();
    process->relay = FaultRelay::create(m_context, 0, process->peerPort);
    std::ofstream(m_folder + '/' + name + ".toml")
        << "name = \"" << name << "\"\ndata_centre = \"" << dataCentre
        << "\"\nregion = \"kyushu\"\n"
        << "peer_listen = \"127.0.0.1:" << process->peerPort << "\"\n"
        << "peer_advertise = \"127.0.0.1:" << process->relay->port() << "\"\n"
        << "metrics_listen = \"127.0.0.1:0\"\npeer_realm = \"soak\"\nstore_address = \"127.0.0.1:"
        << m_store.port() << "\"\n"
        << "longest_lease_ms = 1000\nstop_duration_ms = 50\nresubmission_ms = 1300\n"
           "stop_grace_s = 6\n"
        << m_extraSettings;
    processes.push_back(std::move(process));
    return *processes.back();
}

void SoakSite::addEntry(std::size_t number)
{
    SoakProcess &process = addProcess(m_entries, "edge-" + std::to_string(number), "centre-0");
    const std::string path = m_folder + '/' + process.name + ".toml";
    std::ofstream(path, std::ios::app) << "front_listen = \"127.0.0.1:" << process.otherPort
                                       << "\"\nready_listen = \"127.0.0.1:0\"\n";
    process.command = {BLUEBELLQUAY_BIN_DIR "/bluebellquay-platform-entry", "--config", path};
    start(process);
}

void SoakSite::addAgent(std::size_t number)
{
    SoakProcess &process =
        addProcess(m_agents, "side-" + std::to_string(number), "centre-" + std::to_string(number));
    const std::string path = m_folder + '/' + process.name + ".toml";
    std::ofstream(path, std::ios::app)
        << "announce_listen = \"127.0.0.1:" << process.otherPort << "\"\n";
    process.command = {BLUEBELLQUAY_BIN_DIR "/bluebellquay-platform-agent", "--config", path};
    m_workers.push_back(makeWorker(number));
    start(process);
}

std::unique_ptr<PlatformWorker> SoakSite::makeWorker(std::size_t agent)
{
    const std::size_t former = m_formerWorkers.size();
    const std::string name =
        "i-" + std::to_string(agent) + (former == 0 ? "" : '-' + std::to_string(former));
    return std::make_unique<PlatformWorker>(m_context, m_timers, m_judge, name,
                                            loopback(m_agents[agent]->otherPort),
                                            m_seed + agent + former);
}

void SoakSite::start(SoakProcess &process)
{
    process.stopping = false;
    process.paused = false;
    process.child.emplace(process.command, m_folder + '/' + process.name + ".log");
}

void SoakSite::replaceWorker(std::size_t agent)
{
    m_formerWorkers.push_back(std::move(m_workers[agent]));
    m_workers[agent] = makeWorker(agent);
    note("worker " + m_workers[agent]->name() + " comes in the place of "
         + m_formerWorkers.back()->name());
}

void SoakSite::putConfig(std::uint64_t version)
{
    std::string text = Config;
    m_store.put("op", "config", text.replace(text.find('%'), 1, std::to_string(version)));
}

void SoakSite::evacuate(bool evacuated)
{
    if (evacuated)
        m_store.put("op", EvacuationRow, "{}");
    else
        m_store.remove("op", EvacuationRow);
}

void SoakSite::repairStore()
{
    m_store.setMode(StoreMode::Serving);
    m_store.setDelay(Duration(0));
    m_store.setLostAnswers(0);
    evacuate(false);
}

void SoakSite::repairAll()
{
    note("all faults end");
    repairStore();
    for (std::size_t agent = 0; agent < m_workers.size(); ++agent) {
        if (worker(agent).isGone())
            replaceWorker(agent);
        worker(agent).standStill(false);
        worker(agent).setLostAnswers(0);
        worker(agent).setSlow(false);
    }
    for (auto *processes : {&m_entries, &m_agents}) {
        for (const auto &process : *processes) {
            process->relay->pass();
            process->next.cancel();
            process->linkRepair.cancel();
            process->child->signal(SIGCONT);
            process->paused = false;
            if (process->stopping || !process->child->running())
                start(*process);
        }
    }
}

} // namespace Bluebellquay::Testing
