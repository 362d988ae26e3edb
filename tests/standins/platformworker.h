// Stand-in for a worker of the users' platform: announces itself to the agent beside it, starts
// what it is told to under a lease, lists what runs and what has ended. It can lose answers, carry
// calls out late, stand still, crash and start again, and leave. The payload of a task says how it
// behaves: "<cpu> <milliseconds> <ok|fail>".
#pragma once

#include "kernel/timerservice.h"
#include "net/httpclient.h"
#include "net/httpserver.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Bluebellquay::Testing {

// Sees every start and end on all workers.
class PlatformJudge
{
public:
    void started(const std::string &worker, const std::string &task, std::uint64_t run,
                 unsigned heldCpu, unsigned cpu, unsigned roomCpu);
    void ended(const std::string &worker, const std::string &task, std::uint64_t run,
               const std::string &how);
    bool isDone(const std::string &task) const { return m_done.contains(task); }
    bool wasStarted(const std::string &job) const { return m_startedJobs.contains(job); }
    bool isRunningOn(const std::string &task, const std::string &worker) const;
    std::size_t starts() const { return m_starts; }
    std::size_t startsOf(const std::string &task) const
    {
        const auto position = m_startsOf.find(task);
        return position == m_startsOf.end() ? 0 : position->second;
    }
    std::size_t startsOn(const std::string &worker) const
    {
        const auto position = m_startsOn.find(worker);
        return position == m_startsOn.end() ? 0 : position->second;
    }
    void report(const std::string &violation);
    // Is told of each start, end and violation.
    void observe(std::function<void(const std::string &)> observer)
    {
        m_observer = std::move(observer);
    }
    const std::vector<std::string> &violations() const { return m_violations; }

private:
    struct Run
    {
        std::string worker;
        std::uint64_t number = 0;
    };

    // By task.
    std::map<std::string, std::vector<Run>> m_running;
    std::function<void(const std::string &)> m_observer = [](const std::string &) {};
    std::set<std::string> m_done;
    std::set<std::string> m_startedJobs;
    std::size_t m_starts = 0;
    // By worker.
    std::map<std::string, std::size_t> m_startsOn;
    // By task.
    std::map<std::string, std::size_t> m_startsOf;
    std::vector<std::string> m_violations;
};

class PlatformWorker
{
public:
    // Announces itself at the agent's address.
    PlatformWorker(boost::asio::io_context &context, TimerService &timers, PlatformJudge &judge,
                   std::string name, boost::asio::ip::tcp::endpoint agent, std::uint64_t seed);

    // Half of the calls without an answer are never carried out; of the others half at once, half
    // up to some seconds later.
    void setLostAnswers(double share) { m_lostAnswers = share; }
    // Starts and stops are carried out, and answered, late by a time close to the one after which
    // agents give a call up.
    void setSlow(bool slow) { m_slow = slow; }
    void standStill(bool still);
    // Everything that runs is gone; announces itself as another life after a while.
    void crash() { restartAs(m_name, 1'000); }
    // As a crash; the next life has this name, and says that it was born so much later.
    void restartAs(std::string name, std::int64_t bornStepMs);
    void drain(bool draining) { m_draining = draining; }
    // Says that it leaves, and is gone with everything that runs.
    void leave();
    // Gone without a word.
    void vanish();
    bool isGone() const { return m_server == nullptr; }
    const std::string &name() const { return m_name; }
    // Also after its end.
    std::string address() const;
    std::uint64_t bornMs() const { return m_born; }
    // The last announcement of the life before this one: its target and its body, empty if there
    // was no other life.
    const std::pair<std::string, std::string> &earlierAnnouncement() const
    {
        return m_earlierAnnouncement;
    }

private:
    // Its task and its number.
    using RunId = std::pair<std::string, std::uint64_t>;
    struct Run
    {
        unsigned cpu = 0;
        bool fails = false;
        Duration runTime{0};
        bool stopping = false;
        TimerSubscription end;
    };
    struct Ended
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };
    struct Hold
    {
        std::shared_ptr<HttpExchange> exchange;
        std::uint64_t number = 0;
        TimerSubscription timeout;
    };

    void announce();
    // Everything that runs is gone, and nothing of before is known.
    void forgetAll();
    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    // Carries a start or a stop out, after a while, and answers it unless the answer is lost.
    void carryOutLate(const HttpRequest &request, std::shared_ptr<HttpExchange> exchange,
                      Duration delay);
    HttpResponse carryOut(const HttpRequest &request);
    unsigned start(const std::string &body, std::string &refusal);
    unsigned stop(const std::string &body, std::string &refusal);
    void hold(const std::string &body, const std::shared_ptr<HttpExchange> &exchange);
    void scheduleEnd(const RunId &id);
    void end(const RunId &id, const std::string &how);
    Duration pick(Duration low, Duration high);
    void answerHolds();
    std::string listing() const;
    void renew(std::uint64_t untilMs);
    std::uint64_t clockMs() const;

    TimerService &m_timers;
    PlatformJudge &m_judge;
    std::string m_name;
    std::mt19937_64 m_random;
    std::unique_ptr<HttpServer> m_server;
    HttpClient m_agent;
    double m_lostAnswers = 0;
    bool m_slow = false;
    bool m_still = false;
    bool m_draining = false;
    unsigned short m_port = 0;
    TimePoint m_begunAt;
    // Of the steady clock, in thousandths of the true one.
    std::uint64_t m_clockRate = 1'000;
    std::uint64_t m_born = 1;
    std::pair<std::string, std::string> m_lastAnnouncement;
    std::pair<std::string, std::string> m_earlierAnnouncement;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_token = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_leaseUntilMs = 0;
    std::uint64_t m_lastHold = 0;
    std::map<RunId, Run> m_runs;
    std::map<std::string, std::uint64_t> m_closed;
    std::vector<Ended> m_ended;
    std::vector<Hold> m_holds;
    std::deque<std::shared_ptr<HttpExchange>> m_silent;
    // Timers of calls that are carried out late; those that have run are kept until the end.
    std::deque<TimerSubscription> m_lateCalls;
    TimerSubscription m_announcement;
    TimerSubscription m_leaseCheck;
    TimerSubscription m_restart;
};

} // namespace Bluebellquay::Testing
