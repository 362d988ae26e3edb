#include "soak/platformsoak.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Bluebellquay::Testing {

namespace {

// Callers wait for one answer, or for several and submit again.
constexpr Duration CallerPatience{3'500'000};
constexpr Duration ShortPatience{1'500'000};
constexpr Duration LongestEffort{4'500'000};
constexpr Duration ReadyTimeout{15'000'000};
constexpr Duration SettleTime{6'000'000};
// The users' bound from the acknowledged evacuation to the last start.
constexpr Duration EvacuationBound{5'000'000};

} // namespace

PlatformSoak::PlatformSoak(SoakSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_site(m_settings.folder, m_settings.seed, m_settings.entries, m_settings.agents)
    , m_faults(m_site, m_settings.faults, m_settings.seed, m_settings.faultGap)
    , m_callers(m_site, m_settings.seed)
{ }

PlatformSoak::~PlatformSoak() = default;

Duration::rep PlatformSoak::pick(Duration::rep low, Duration::rep high)
{
    return std::uniform_int_distribution<Duration::rep>(low, high)(m_random);
}

SoakReport PlatformSoak::run()
{
    waitReady();
    m_loading = true;
    submitNext();
    m_faults.begin();
    m_site.pass(m_settings.length);
    m_faults.end();
    finishLoad();
    m_site.repairAll();
    m_site.pass(SettleTime);
    m_report.faults = m_faults.count();
    m_report.violations = m_site.judge().violations();
    m_report.starts = m_site.judge().starts();
    for (const auto &job : m_jobs) {
        if (!job->answered && job->rejectedOnly && m_site.judge().wasStarted(job->key))
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
    m_site.pass(std::chrono::seconds(1));
    m_site.evacuate(true);
    m_site.pass(EvacuationBound);
    checkEvacuated();
    // Processes that begin meanwhile learn of it before their first start.
    restart(*m_site.agents().front());
    restart(*m_site.entries().front());
    checkEvacuated();
    m_site.evacuate(false);
    const std::size_t starts = m_site.judge().startsOn("i-0");
    const TimePoint latest = m_site.timers().now() + ReadyTimeout;
    while (m_site.judge().startsOn("i-0") == starts && m_site.timers().now() < latest)
        m_site.pass(std::chrono::milliseconds(20));
    if (m_site.judge().startsOn("i-0") == starts)
        m_site.judge().report("nothing starts after the data centre was taken back");
    finishLoad();
    m_site.pass(LongestEffort);
    m_report.violations = m_site.judge().violations();
    m_report.starts = m_site.judge().starts();
    return m_report;
}

void PlatformSoak::finishLoad()
{
    m_loading = false;
    m_nextJob.cancel();
}

void PlatformSoak::checkEvacuated()
{
    const std::size_t starts = m_site.judge().startsOn("i-0");
    const std::size_t all = m_site.judge().starts();
    m_site.pass(std::chrono::seconds(2));
    if (m_site.judge().startsOn("i-0") != starts)
        m_site.judge().report("started in an evacuated data centre");
    if (m_site.judge().starts() == all)
        m_site.judge().report("nothing starts in the other data centres");
}

void PlatformSoak::restart(SoakProcess &process)
{
    process.child->kill();
    m_site.start(process);
}

void PlatformSoak::waitReady()
{
    for (const std::string &entry : m_callers.waitUntilServing())
        m_report.violations.push_back("does not serve: " + entry);
}

std::shared_ptr<PlatformSoak::Job> PlatformSoak::makeJob()
{
    auto job = std::make_shared<Job>();
    job->key = m_callers.newKey();
    ++m_report.jobs;
    // Tasks that run for longer than their caller waits, and are submitted again.
    const bool isLong = pick(0, 5) == 0;
    job->target = (isLong ? "/y/" : "/x/") + job->key;
    job->patience = isLong || pick(0, 1) == 0 ? ShortPatience : CallerPatience;
    job->deadline = m_site.timers().now() + LongestEffort;
    job->tasks = static_cast<unsigned>(isLong ? pick(1, 2) : pick(1, 6));
    const auto cpu = isLong ? pick(500, 2'000) : pick(2'000, 20'000);
    const auto runTime = isLong ? pick(800, 3'000) : pick(20, 400);
    const auto estimate = isLong ? runTime / 4 : runTime * 2;
    const bool fails = pick(0, 99) == 0;
    job->body =
        nlohmann::json{
            {"bestEffort", true},
            {"spec",
             std::to_string(cpu) + ' ' + std::to_string(runTime) + (fails ? " fail" : " ok")},
            {"steps", {{{"count", job->tasks}, {"cpu", cpu}, {"estimateMs", estimate}}}}}
            .dump();
    return job;
}

void PlatformSoak::submitNext()
{
    if (!m_loading)
        return;
    const std::shared_ptr<Job> job = makeJob();
    m_jobs.push_back(job);
    submit(
        job,
        static_cast<std::size_t>(pick(0, static_cast<Duration::rep>(m_site.entries().size()) - 1)));
    m_nextJob =
        m_site.timers().at(m_site.timers().now() + Duration(pick(1, 2 * m_settings.jobGap.count())),
                           [this](TimePoint) { submitNext(); });
}

void PlatformSoak::submit(const std::shared_ptr<Job> &job, std::size_t entry)
{
    const TimePoint now = m_site.timers().now();
    if (now >= job->deadline)
        return;
    const Duration wait = std::min(job->patience, job->deadline - now);
    m_site.note("submit " + job->key + " to " + m_site.entries()[entry]->name);
    m_callers.submit(entry, job->target, job->body, wait,
                     [this, job, entry](const HttpReply &reply) { answered(job, entry, reply); });
}

void PlatformSoak::answered(const std::shared_ptr<Job> &job, std::size_t entry,
                            const HttpReply &reply)
{
    m_site.note("answer " + job->key + " status " + std::to_string(reply.status));
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
            if (!m_site.judge().isDone(job->key + ".0.0." + std::to_string(index)))
                m_site.judge().report("completed without all its tasks: " + job->key);
        }
        return;
    }
    // The timer must not keep the job, which owns the timer's subscription, alive.
    job->resubmission = m_site.timers().at(
        m_site.timers().now() + Resubmission, [this, weak = std::weak_ptr(job), entry](TimePoint) {
            if (const auto waiting = weak.lock())
                submit(waiting, (entry + 1) % m_site.entries().size());
        });
}

} // namespace Bluebellquay::Testing
