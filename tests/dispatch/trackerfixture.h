// One agent's run tracker with a worker and homes, for tests that play these.
#pragma once

#include "core/runtracker.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace Bluebellquay::Testing {

constexpr Incarnation Home{5};
constexpr Incarnation OtherHome{6};
constexpr JobKey OnlyJob{0xabc};
// Same value as in platform/processsetup.h.
constexpr Duration PingInterval{150'000};

class TrackerFixture
{
public:
    TrackerFixture()
    {
        profile.identity = {"i-1", 1000};
        profile.service = "archive";
        profile.room = {64'000, 128'000'000'000ULL, 0};
        homeUp(Home);
        tracker.workerAnnounced(now, profile, out);
        list({}, {});
        clear();
    }

    void clear() { out = RunOutbox(); }
    // The homes answer the agent's pings meanwhile.
    void pass(Duration span)
    {
        const TimePoint end = now + span;
        while (now < end) {
            now = std::min(now + PingInterval, end);
            for (const Incarnation home : {Home, OtherHome})
                tracker.homeAlive(now, home, now, out);
        }
    }
    // Nobody answers the agent's pings meanwhile.
    void passInSilence(Duration span) { now += span; }
    void homeUp(Incarnation home)
    {
        tracker.homeUp(now, home);
        tracker.homeAlive(now, home, now, out);
    }
    static RunKey key(std::uint32_t index, std::uint64_t run = 1)
    {
        return {OnlyJob, 0, index, RunNumber(run)};
    }
    void order(std::uint32_t index, std::uint32_t cpu, std::uint64_t run = 1, bool mayWait = true,
               Incarnation home = Home)
    {
        StartRuns message;
        message.job = OnlyJob;
        message.need.milliProcessors = cpu;
        message.timeLeft = std::chrono::milliseconds(100);
        message.orders.push_back({index, RunNumber(run), OrderNumber(++lastOrder),
                                  std::chrono::milliseconds(100), 0, mayWait});
        tracker.handle(now, home, message, out);
    }
    // The worker has accepted the start.
    void run(std::uint32_t index, std::uint32_t cpu)
    {
        order(index, cpu);
        tracker.startAnswered(now, key(index), StartAnswer::Accepted, out);
    }
    void list(std::vector<RunKey> running, std::vector<ListedEnd> ended,
              std::optional<TimePoint> askedAt = std::nullopt)
    {
        tracker.listingReceived(
            now, {profile.identity, askedAt.value_or(now), std::move(running), std::move(ended), 0},
            out);
    }
    // The worker has started again under its name.
    void replaceWorker()
    {
        clear();
        profile.identity.startedAt = 2000;
        tracker.workerAnnounced(now, profile, out);
    }
    // The first call to start run 0 has no answer, the second one is accepted.
    void orderAcceptedAtRepeat()
    {
        order(0, 40'000);
        pass(StartAttempts::RepeatInterval);
        tracker.advance(now, out);
        tracker.startAnswered(now, key(0), StartAnswer::Accepted, out);
    }
    // No call for this run has been answered for as long as it is repeated.
    void giveUp(std::uint32_t index)
    {
        clear();
        pass(StartAttempts::GivenUpAfter);
        tracker.startAnswered(now, key(index), StartAnswer::NoAnswer, out);
    }
    // Ends that were sent to the home, in order.
    std::vector<EndedRun> ends(Incarnation home = Home) const
    {
        std::vector<EndedRun> found;
        for (const auto &[to, message] : out.messages) {
            const auto *ended = std::get_if<RunsEnded>(&message);
            if (ended != nullptr && to == home)
                found.insert(found.end(), ended->runs.begin(), ended->runs.end());
        }
        return found;
    }

    // The only end that was sent to the home.
    EndedRun onlyEnd(Incarnation home = Home) const
    {
        REQUIRE(ends(home).size() == 1);
        return ends(home).front();
    }

    // The latest report to the home; null if there is none.
    const WorkerRoom *lastRoom() const
    {
        const WorkerRoom *found = nullptr;
        for (const auto &[to, message] : out.messages) {
            if (const auto *room = std::get_if<WorkerRoom>(&message))
                found = room;
        }
        return found;
    }

    TimePoint now{std::chrono::seconds(1)};
    WorkerProfile profile;
    RunTracker tracker{RunTrackerSettings()};
    RunOutbox out;
    std::uint64_t lastOrder = 0;
};

} // namespace Bluebellquay::Testing
