// Stand-in for a worker of the users' platform: announces itself to the agent beside it, starts
// what it is told to under a lease, lists what runs and what has ended. It can lose answers, stand
// still, crash and start again. The payload of a task says how it behaves: "<cpu> <milliseconds>
// <ok|fail>".
#pragma once

#include "kernel/timerservice.h"
#include "net/httpclient.h"
#include "net/httpserver.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Bluebellquay::Testing {

// Sees every start and end on all workers.
class PlatformJudge
{
public:
    void started(const std::string &worker, const std::string &task, std::uint64_t run,
                 unsigned heldCpu, unsigned cpu, unsigned roomCpu);
    void ended(const std::string &task, bool done);
    bool isDone(const std::string &task) const { return m_done.contains(task); }
    bool wasStarted(const std::string &job) const { return m_startedJobs.contains(job); }
    std::size_t starts() const { return m_starts; }
    std::size_t startsOn(const std::string &worker) const
    {
        const auto position = m_startsOn.find(worker);
        return position == m_startsOn.end() ? 0 : position->second;
    }
    void report(std::string violation) { m_violations.push_back(std::move(violation)); }
    const std::vector<std::string> &violations() const { return m_violations; }

private:
    std::map<std::string, int> m_running;
    std::set<std::string> m_done;
    std::set<std::string> m_startedJobs;
    std::size_t m_starts = 0;
    std::map<std::string, std::size_t> m_startsOn;
    std::vector<std::string> m_violations;
};

class PlatformWorker
{
public:
    // Announces itself at the agent's address.
    PlatformWorker(boost::asio::io_context &context, TimerService &timers, PlatformJudge &judge,
                   std::string name, boost::asio::ip::tcp::endpoint agent, std::uint64_t seed);

    void setLostAnswers(double share) { m_lostAnswers = share; }
    void standStill(bool still);
    // Everything that runs is gone; announces itself as another life after a while.
    void crash();
    void drain(bool draining) { m_draining = draining; }
    // Says that it leaves, and is gone with everything that runs.
    void leave();
    std::string address() const;
    std::uint64_t bornMs() const { return m_born; }

private:
    struct Run
    {
        std::uint64_t number = 0;
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
    unsigned start(const std::string &body, std::string &refusal);
    void stop(const std::string &body);
    void hold(const std::string &body, const std::shared_ptr<HttpExchange> &exchange);
    void scheduleEnd(const std::string &task);
    // The name is taken by value: callers pass the key of the record that is removed.
    void end(std::string task, const std::string &how);
    void answerHolds();
    std::string account() const;
    void renew(std::uint64_t untilMs);
    std::uint64_t clockMs() const;

    TimerService &m_timers;
    PlatformJudge &m_judge;
    std::string m_name;
    std::mt19937_64 m_random;
    std::unique_ptr<HttpServer> m_server;
    HttpClient m_agent;
    double m_lostAnswers = 0;
    bool m_still = false;
    bool m_draining = false;
    std::uint64_t m_born = 1;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_token = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_leaseUntilMs = 0;
    std::uint64_t m_lastHold = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_closed;
    std::vector<Ended> m_ended;
    std::vector<Hold> m_holds;
    std::deque<std::shared_ptr<HttpExchange>> m_silent;
    TimerSubscription m_announcement;
    TimerSubscription m_leaseCheck;
    TimerSubscription m_restart;
};

} // namespace Bluebellquay::Testing
