// Plays random schedules of killed processes, cut links, suspended workers, worker crashes, lost
// and delayed orders, and callers that leave or submit again. Guards against two overlapping runs
// of a task, workers loaded beyond their resources, answers given before all tasks are done, and
// calls that are never answered.
#include "dispatch/keyedsite.h"
#include "dispatch/randomseeds.h"

#include <catch2/catch.hpp>

#include <array>
#include <chrono>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seeds = 300;
constexpr std::uint64_t SlowWorkerSeeds = 2'000;
constexpr int Steps = 120;

class RandomSchedule
{
public:
    explicit RandomSchedule(const KeyedSiteSettings &settings)
        : m_site(settings)
        , m_settings(settings)
    { }

    std::vector<std::string> play()
    {
        for (int i = 0; i < Steps; ++i) {
            step();
            m_site.run(Duration(pick(1'000, 60'000)));
        }
        m_site.run(12s);
        return m_site.violations();
    }

private:
    Duration::rep pick(Duration::rep low, Duration::rep high)
    {
        return std::uniform_int_distribution<Duration::rep>(low, high)(m_site.random());
    }
    std::size_t entry() { return static_cast<std::size_t>(pick(0, 2)); }
    std::size_t agent()
    {
        return static_cast<std::size_t>(pick(0, static_cast<Duration::rep>(m_settings.agents) - 1));
    }

    void step()
    {
        const Duration::rep choice = pick(0, 99);
        if (choice < 70) {
            ModelTask task;
            task.need.milliProcessors = static_cast<std::uint32_t>(pick(2'000, 30'000));
            task.runTime = Duration(pick(20'000, 600'000));
            task.fails = pick(0, 49) == 0;
            const std::size_t at = entry();
            const auto tasks = static_cast<std::uint32_t>(pick(1, 6));
            m_jobs.push_back(m_site.submit(at, tasks, task, task.runTime * 2, 4s));
        } else if (choice < 76 && !m_jobs.empty()) {
            const JobKey job = m_jobs[static_cast<std::size_t>(
                pick(0, static_cast<Duration::rep>(m_jobs.size()) - 1))];
            m_site.leave(job);
        } else if (choice < 80) {
            const std::size_t killed = entry();
            m_site.killEntry(killed, Duration(pick(50'000, 2'000'000)));
        } else if (choice < 85) {
            const std::size_t killed = agent();
            m_site.killAgent(killed, Duration(pick(50'000, 3'000'000)));
        } else if (choice < 92) {
            const std::size_t from = entry();
            const std::size_t to = agent();
            m_site.cut(from, to, Duration(pick(50'000, 3'000'000)));
        } else if (choice < 96) {
            const std::size_t still = agent();
            m_site.standStill(still, Duration(pick(300'000, 3'000'000)));
        } else {
            m_site.crashWorker(agent());
        }
    }

    KeyedSite m_site;
    KeyedSiteSettings m_settings;
    std::vector<JobKey> m_jobs;
};

// Share of the calls to workers that get no answer; the seeds take the values in turn.
constexpr std::array<double, 4> LostAnswers{0, 0.06, 0, 0.3};

KeyedSiteSettings settingsOf(std::uint64_t seed)
{
    KeyedSiteSettings settings;
    settings.seed = seed;
    settings.lostAnswers = LostAnswers[seed % LostAnswers.size()];
    return settings;
}

// The agent of the slow worker gives each start up after 90 ms, about when it is answered.
KeyedSiteSettings withSlowWorker(KeyedSiteSettings settings)
{
    settings.agents = 6;
    settings.callDelays.resize(settings.agents);
    settings.callDelays.front() = {80ms, 108ms};
    return settings;
}

std::vector<std::string> play(const KeyedSiteSettings &settings)
{
    return RandomSchedule(settings).play();
}

void requireNoViolation(std::uint64_t seeds, KeyedSiteSettings (*settings)(std::uint64_t seed))
{
    const std::vector<BrokenSeed> broken =
        brokenSeeds(seeds, [&](std::uint64_t seed) { return play(settings(seed)); });
    INFO(describe(broken));
    CHECK(broken.empty());
}

} // namespace

TEST_CASE("random fault schedules break no promise of keyed jobs")
{
    requireNoViolation(Seeds, settingsOf);
}

// Guards against a second run of a task whose start is accepted after it was given up.
TEST_CASE("random fault schedules with one slow worker of six break no promise of keyed jobs")
{
    requireNoViolation(SlowWorkerSeeds,
                       [](std::uint64_t seed) { return withSlowWorker(settingsOf(seed)); });
}

// Shows that the check can fail: unless agents stop the runs of silent homes, a job that is
// submitted again runs beside its first run.
TEST_CASE("agents that let runs of silent homes go on are found out")
{
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        KeyedSiteSettings settings = settingsOf(seed);
        settings.agentsStopSilentHomes = false;
        violations += play(settings).size();
    }
    CHECK(violations > 0);
}

namespace {

constexpr std::uint64_t BrokenLinkSeeds = 40;

// Callers give up at their deadline and submit again elsewhere, while links break for up to this
// long or are replaced.
std::vector<std::string> playBrokenLinks(std::uint64_t seed, Duration longest)
{
    KeyedSiteSettings settings;
    settings.seed = seed;
    settings.submissionsAfterDeadline = 2;
    KeyedSite site(settings);
    const auto pick = [&](Duration::rep low, Duration::rep high) {
        return std::uniform_int_distribution<Duration::rep>(low, high)(site.random());
    };
    const auto entry = [&] { return static_cast<std::size_t>(pick(0, 2)); };
    const auto agent = [&] { return static_cast<std::size_t>(pick(0, 3)); };
    for (int i = 0; i < Steps; ++i) {
        ModelTask task;
        task.need.milliProcessors = static_cast<std::uint32_t>(pick(1'000, 8'000));
        task.runTime = Duration(pick(200'000, 4'000'000));
        const std::size_t at = entry();
        site.submit(at, 1, task, task.runTime, Duration(pick(100'000, 1'000'000)));
        site.run(Duration(pick(1'000, 40'000)));
        if (pick(0, 9) == 0) {
            const std::size_t from = entry();
            site.replaceLink(from, agent());
        }
        // Of all links, some 30% are down at a time.
        if (pick(0, longest / Duration(150ms)) == 0) {
            const std::size_t from = entry();
            const std::size_t to = agent();
            site.breakLink(from, to, Duration(pick(0, longest.count())));
        }
    }
    site.run(12s);
    return site.violations();
}

} // namespace

// Guards against two overlapping runs of a task: stops were lost with links that were back within
// the agents' grace. The longer breaks make homes and agents give each other up.
TEST_CASE("jobs that are given up while links break run once at a time")
{
    const Duration longest = GENERATE(Duration(150ms), Duration(3s));
    const std::vector<BrokenSeed> broken = brokenSeeds(
        BrokenLinkSeeds, [&](std::uint64_t seed) { return playBrokenLinks(seed, longest); });
    INFO(describe(broken));
    CHECK(broken.empty());
}
