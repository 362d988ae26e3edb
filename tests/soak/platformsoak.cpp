#include "soak/platformsoak.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <set>

namespace Bluebellquay::Testing {

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr Duration Resubmission{1'300'000};
constexpr Duration CallerPatience{3'500'000};
constexpr Duration ReadyTimeout{15'000'000};
constexpr Duration SettleTime{6'000'000};
constexpr Duration StopGrace{6'000'000};
// Longer than the leases of all runs and the patience of homes and agents.
constexpr Duration LongestPause{4'000'000};
// The users' bound from the acknowledged evacuation to the last start.
constexpr Duration EvacuationBound{5'000'000};
constexpr const char *EvacuationRow = "evacuate/centre-0";
const char *const Config =
    R"({"version":%,"routes":[{"name":"r-1","host":"a.example","pathPrefix":"/x/","type":"unsafe",)"
    R"("timeoutMs":1500,"objectiveMs":60,"priority":0,"service":"archive","maxAttempts":3,)"
    R"("slackFactor":1.6}],"services":[],"limits":{}})";

Tcp::endpoint loopback(unsigned short port)
{
    return {boost::asio::ip::address_v4::loopback(), port};
}

std::string keyText(std::uint64_t seed, std::size_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(seed),
                  static_cast<unsigned>(number));
    return text;
}

std::string config(std::uint64_t version)
{
    std::string text = Config;
    return text.replace(text.find('%'), 1, std::to_string(version));
}

} // namespace

PlatformSoak::PlatformSoak(SoakSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_timers(m_context)
    , m_store(m_context, m_timers, m_settings.seed)
{
    m_store.put("op", "config", config(1));
    for (std::size_t i = 0; i < m_settings.entries; ++i)
        addEntry(i);
    for (std::size_t i = 0; i < m_settings.agents; ++i)
        addAgent(i);
}

PlatformSoak::~PlatformSoak() = default;

Duration::rep PlatformSoak::pick(Duration::rep low, Duration::rep high)
{
    return std::uniform_int_distribution<Duration::rep>(low, high)(m_random);
}

void PlatformSoak::pass(Duration span)
{
    m_context.restart();
    m_context.run_for(span);
}

std::string PlatformSoak::commonSettings(const Process &process,
                                         const std::string &dataCentre) const
{
    return "name = \"" + process.name + "\"\ndata_centre = \"" + dataCentre
        + "\"\nregion = \"kyushu\"\n"
        + "peer_listen = \"127.0.0.1:" + std::to_string(process.peerPort) + "\"\n"
        + "peer_advertise = \"127.0.0.1:" + std::to_string(process.relay->port()) + "\"\n"
        + "metrics_listen = \"127.0.0.1:0\"\npeer_realm = \"soak\"\nstore_address = \"127.0.0.1:"
        + std::to_string(m_store.port()) + "\"\n"
        + "longest_lease_ms = 1000\nstop_duration_ms = 50\nresubmission_ms = 1300\n"
          "stop_grace_s = 6\n";
}

void PlatformSoak::addEntry(std::size_t number)
{
    auto process = std::make_unique<Process>();
    process->name = "edge-" + std::to_string(number);
    process->peerPort = m_ports.next();
    process->otherPort = m_ports.next();
    process->relay = FaultRelay::create(m_context, 0, process->peerPort);
    const std::string path = m_settings.folder + '/' + process->name + ".toml";
    std::ofstream(path) << commonSettings(*process, "centre-0")
                        << "front_listen = \"127.0.0.1:" << process->otherPort
                        << "\"\nready_listen = \"127.0.0.1:0\"\n";
    process->command = {BLUEBELLQUAY_BIN_DIR "/bluebellquay-platform-entry", "--config", path};
    m_clients.push_back(
        std::make_unique<HttpClient>(m_context, m_timers, loopback(process->otherPort)));
    startProcess(*process);
    m_entries.push_back(std::move(process));
}

void PlatformSoak::addAgent(std::size_t number)
{
    auto process = std::make_unique<Process>();
    process->name = "side-" + std::to_string(number);
    process->peerPort = m_ports.next();
    process->otherPort = m_ports.next();
    process->relay = FaultRelay::create(m_context, 0, process->peerPort);
    const std::string path = m_settings.folder + '/' + process->name + ".toml";
    std::ofstream(path) << commonSettings(*process, "centre-" + std::to_string(number))
                        << "announce_listen = \"127.0.0.1:" << process->otherPort << "\"\n";
    process->command = {BLUEBELLQUAY_BIN_DIR "/bluebellquay-platform-agent", "--config", path};
    m_workers.push_back(std::make_unique<PlatformWorker>(
        m_context, m_timers, m_judge, "i-" + std::to_string(number), loopback(process->otherPort),
        m_settings.seed + number));
    startProcess(*process);
    m_agents.push_back(std::move(process));
}

void PlatformSoak::startProcess(Process &process)
{
    process.stopping = false;
    process.paused = false;
    process.child.emplace(process.command, m_settings.folder + '/' + process.name + ".log");
}

SoakReport PlatformSoak::run()
{
    waitReady();
    m_loading = true;
    submitNext();
    injectNext();
    pass(m_settings.length);
    m_loading = false;
    m_nextJob.cancel();
    m_nextFault.cancel();
    repairAll();
    pass(SettleTime);
    m_report.violations = m_judge.violations();
    m_report.starts = m_judge.starts();
    for (const auto &job : m_jobs) {
        if (!job->answered && job->rejectedOnly && m_judge.wasStarted(job->key))
            m_report.violations.push_back("refused although it was started: " + job->key);
    }
    // After the faults the system serves again.
    waitReady();
    return m_report;
}

SoakReport PlatformSoak::runEvacuation()
{
    waitReady();
    m_loading = true;
    submitNext();
    pass(std::chrono::seconds(1));
    m_store.put("op", EvacuationRow, "{}");
    pass(EvacuationBound);
    checkEvacuated();
    // Processes that begin meanwhile learn of it before their first start.
    restart(*m_agents.front());
    restart(*m_entries.front());
    checkEvacuated();
    m_store.remove("op", EvacuationRow);
    const std::size_t starts = m_judge.startsOn("i-0");
    const TimePoint latest = m_timers.now() + ReadyTimeout;
    while (m_judge.startsOn("i-0") == starts && m_timers.now() < latest)
        pass(std::chrono::milliseconds(20));
    if (m_judge.startsOn("i-0") == starts)
        m_judge.report("nothing starts after the data centre was taken back");
    m_loading = false;
    m_nextJob.cancel();
    pass(CallerPatience);
    m_report.violations = m_judge.violations();
    m_report.starts = m_judge.starts();
    return m_report;
}

void PlatformSoak::checkEvacuated()
{
    const std::size_t starts = m_judge.startsOn("i-0");
    const std::size_t all = m_judge.starts();
    pass(std::chrono::seconds(2));
    if (m_judge.startsOn("i-0") != starts)
        m_judge.report("started in an evacuated data centre");
    if (m_judge.starts() == all)
        m_judge.report("nothing starts in the other data centres");
}

void PlatformSoak::restart(Process &process)
{
    process.child->kill();
    startProcess(process);
}

void PlatformSoak::waitReady()
{
    const TimePoint latest = m_timers.now() + ReadyTimeout;
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        bool served = false;
        while (!served && m_timers.now() < latest) {
            HttpCall call{
                "POST",
                "/x/" + keyText(~m_settings.seed, m_report.jobs++),
                R"({"bestEffort":true,"spec":"100 1 ok","steps":[{"count":1,"cpu":100}]})",
                {{"Host", "a.example"}},
                std::chrono::seconds(2)};
            bool ended = false;
            m_clients[entry]->call(std::move(call), [&](const HttpReply &reply) {
                served = reply.answered(200);
                ended = true;
            });
            while (!ended)
                pass(std::chrono::milliseconds(5));
            if (!served)
                pass(std::chrono::milliseconds(100));
        }
        if (!served)
            m_report.violations.push_back("does not serve: " + m_entries[entry]->name);
    }
}

void PlatformSoak::submitNext()
{
    if (!m_loading)
        return;
    auto job = std::make_shared<Job>();
    job->key = keyText(m_settings.seed, ++m_report.jobs);
    job->tasks = static_cast<unsigned>(pick(1, 6));
    job->deadline = m_timers.now() + CallerPatience;
    const auto cpu = pick(2'000, 20'000);
    const auto runTime = pick(20, 400);
    const bool fails = pick(0, 99) == 0;
    job->body =
        nlohmann::json{
            {"bestEffort", true},
            {"spec",
             std::to_string(cpu) + ' ' + std::to_string(runTime) + (fails ? " fail" : " ok")},
            {"steps", {{{"count", job->tasks}, {"cpu", cpu}, {"estimateMs", runTime * 2}}}}}
            .dump();
    m_jobs.push_back(job);
    submit(job,
           static_cast<std::size_t>(pick(0, static_cast<Duration::rep>(m_entries.size()) - 1)));
    m_nextJob = m_timers.at(m_timers.now() + Duration(pick(1, 2 * m_settings.jobGap.count())),
                            [this](TimePoint) { submitNext(); });
}

void PlatformSoak::submit(const std::shared_ptr<Job> &job, std::size_t entry)
{
    const TimePoint now = m_timers.now();
    if (now >= job->deadline)
        return;
    const Duration left = job->deadline - now;
    HttpCall call{"POST",
                  "/x/" + job->key,
                  job->body,
                  {{"Host", "a.example"},
                   {"X-Bluebellquay-Deadline-Ms", std::to_string(left.count() / 1000)}},
                  left};
    m_clients[entry]->call(std::move(call), [this, job, entry](const HttpReply &reply) {
        answered(job, entry, reply);
    });
}

void PlatformSoak::answered(const std::shared_ptr<Job> &job, std::size_t entry,
                            const HttpReply &reply)
{
    const bool rejected =
        reply.end == HttpCallEnd::Answered && (reply.status == 429 || reply.status == 503);
    job->rejectedOnly = job->rejectedOnly && (rejected || reply.end == HttpCallEnd::NotSent);
    if (rejected) {
        ++m_report.refused;
        return;
    }
    if (reply.answered(200)) {
        job->answered = true;
        if (reply.body.find("succeeded") == std::string::npos)
            return;
        ++m_report.completed;
        for (unsigned index = 0; index < job->tasks; ++index) {
            if (!m_judge.isDone(job->key + ".0.0." + std::to_string(index)))
                m_judge.report("completed without all its tasks: " + job->key);
        }
        return;
    }
    // The timer must not keep the job, which owns the timer's subscription, alive.
    job->resubmission = m_timers.at(m_timers.now() + Resubmission,
                                    [this, weak = std::weak_ptr(job), entry](TimePoint) {
                                        if (const auto waiting = weak.lock())
                                            submit(waiting, (entry + 1) % m_entries.size());
                                    });
}

void PlatformSoak::injectNext()
{
    m_nextFault = m_timers.at(m_timers.now() + Duration(pick(1, 2 * m_settings.faultGap.count())),
                              [this](TimePoint) {
                                  if (!m_loading)
                                      return;
                                  inject();
                                  injectNext();
                              });
}

void PlatformSoak::inject()
{
    ++m_report.faults;
    auto &processes = pick(0, 1) == 0 ? m_entries : m_agents;
    Process &process = *processes[static_cast<std::size_t>(
        pick(0, static_cast<Duration::rep>(processes.size()) - 1))];
    const Duration::rep choice = pick(0, 9);
    if (choice < 4)
        return disturbProcess(process);
    if (choice < 7)
        return disturbLinks(process);
    if (choice < 8)
        return disturbStore();
    disturbWorker();
}

void PlatformSoak::disturbProcess(Process &process)
{
    // A paused process can't stop, and one that stops, or is about to start, is left to it.
    if (process.stopping || process.paused || !process.child->running())
        return;
    const TimePoint back = m_timers.now() + Duration(pick(100'000, 2'500'000));
    switch (pick(0, 2)) {
    case 0:
        process.child->kill();
        process.next = m_timers.at(back, [this, &process](TimePoint) { startProcess(process); });
        return;
    case 1:
        process.child->signal(SIGTERM);
        process.stopping = true;
        // The platform kills it after the grace time and starts it again.
        process.next = m_timers.at(m_timers.now() + StopGrace, [this, &process](TimePoint) {
            if (process.child->running())
                m_judge.report("still running after its grace time: " + process.name);
            startProcess(process);
        });
        return;
    default:
        process.child->signal(SIGSTOP);
        process.paused = true;
        process.next = m_timers.at(m_timers.now() + Duration(pick(100'000, LongestPause.count())),
                                   [&process](TimePoint) {
                                       process.child->signal(SIGCONT);
                                       process.paused = false;
                                   });
    }
}

void PlatformSoak::disturbLinks(Process &process)
{
    const TimePoint back = m_timers.now() + Duration(pick(100'000, 2'000'000));
    switch (pick(0, 4)) {
    case 0:
        process.relay->cut();
        break;
    case 1:
        process.relay->stall();
        break;
    case 2:
        process.relay->silence(RelayDirection::Up);
        break;
    case 3:
        process.relay->silence(RelayDirection::Down);
        break;
    default:
        process.relay->delay(std::chrono::milliseconds(pick(5, 80)));
    }
    process.linkRepair = m_timers.at(back, [&process](TimePoint) { process.relay->pass(); });
}

void PlatformSoak::disturbStore()
{
    switch (pick(0, 5)) {
    case 0:
        m_store.setMode(StoreMode::Refusing);
        break;
    case 1:
        m_store.setMode(StoreMode::Silent);
        break;
    case 2:
        m_store.setDelay(std::chrono::milliseconds(200));
        break;
    case 3:
        m_store.setLostAnswers(0.4);
        break;
    case 4:
        m_store.put("op", EvacuationRow, "{}");
        break;
    default:
        m_store.forgetHistory();
    }
    m_store.put("op", "config", config(1 + m_report.faults));
    m_storeRepair = m_timers.at(m_timers.now() + std::chrono::seconds(2), [this](TimePoint) {
        m_store.setMode(StoreMode::Serving);
        m_store.setDelay(Duration(0));
        m_store.setLostAnswers(0);
        m_store.remove("op", EvacuationRow);
    });
}

void PlatformSoak::disturbWorker()
{
    PlatformWorker &worker = *m_workers[static_cast<std::size_t>(
        pick(0, static_cast<Duration::rep>(m_workers.size()) - 1))];
    switch (pick(0, 2)) {
    case 0:
        worker.standStill(true);
        break;
    case 1:
        worker.setLostAnswers(0.1);
        break;
    default:
        worker.crash();
        return;
    }
    m_workerRepair = m_timers.at(m_timers.now() + std::chrono::seconds(2), [&worker](TimePoint) {
        worker.standStill(false);
        worker.setLostAnswers(0);
    });
}

void PlatformSoak::repairAll()
{
    m_store.setMode(StoreMode::Serving);
    m_store.setDelay(Duration(0));
    m_store.setLostAnswers(0);
    m_store.remove("op", EvacuationRow);
    for (const auto &worker : m_workers) {
        worker->standStill(false);
        worker->setLostAnswers(0);
    }
    for (auto *processes : {&m_entries, &m_agents}) {
        for (const auto &process : *processes) {
            process->relay->pass();
            process->next.cancel();
            process->linkRepair.cancel();
            process->child->signal(SIGCONT);
            process->paused = false;
            if (process->stopping || !process->child->running())
                startProcess(*process);
        }
    }
}

} // namespace Bluebellquay::Testing
