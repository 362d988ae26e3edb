#include "standins/platformworker.h"

#include "standins/loopbackserver.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace Bluebellquay::Testing {

namespace {

constexpr unsigned RoomCpu = 64'000;
constexpr Duration AnnounceInterval{500'000};
constexpr Duration RestartTime{300'000};
constexpr Duration LeaseCheckInterval{20'000};
constexpr Duration StopTime{20'000};
constexpr std::uint64_t LongestLeaseMs = 1'000;
constexpr std::uint64_t FirstBirthMs = 1'000;

} // namespace

void PlatformJudge::started(const std::string &worker, const std::string &task, std::uint64_t run,
                            unsigned heldCpu, unsigned cpu, unsigned roomCpu)
{
    ++m_starts;
    ++m_startsOn[worker];
    m_startedJobs.insert(task.substr(0, task.find('.')));
    const std::string what = task + " run " + std::to_string(run) + " on " + worker;
    if (++m_running[task] > 1)
        report("two runs at a time: " + what);
    if (heldCpu + cpu > roomCpu)
        report("over the room: " + what);
}

void PlatformJudge::ended(const std::string &task, bool done)
{
    --m_running[task];
    if (done)
        m_done.insert(task);
}

PlatformWorker::PlatformWorker(boost::asio::io_context &context, TimerService &timers,
                               PlatformJudge &judge, std::string name,
                               boost::asio::ip::tcp::endpoint agent, std::uint64_t seed)
    : m_timers(timers)
    , m_judge(judge)
    , m_name(std::move(name))
    , m_random(seed)
    , m_agent(context, timers, std::move(agent))
    , m_born(FirstBirthMs)
{
    m_server = serveOnLoopback(context, timers, *this, &PlatformWorker::handle);
    m_announcement = timers.every(AnnounceInterval, [this](TimePoint) { announce(); });
    m_leaseCheck = timers.every(LeaseCheckInterval, [this](TimePoint) {
        while (clockMs() >= m_leaseUntilMs && !m_runs.empty())
            end(m_runs.begin()->first, "lapsed");
    });
}

std::uint64_t PlatformWorker::clockMs() const
{
    return static_cast<std::uint64_t>(m_timers.now().time_since_epoch().count() / 1000) + 1;
}

void PlatformWorker::announce()
{
    HttpCall call;
    call.method = "PUT";
    call.target = "/v1/instances/" + m_name;
    call.body = nlohmann::json{{"service", "archive"},
                               {"address", address()},
                               {"zone", "fukuoka"},
                               {"version", "v1"},
                               {"capacity", 8},
                               {"state", m_draining ? "draining" : "ready"},
                               {"coldRemainingMs", 0},
                               {"freeCapacity", {{"cpu", RoomCpu}, {"memMb", 128'000}, {"gpu", 0}}},
                               {"labels", {"a", "r1-1"}},
                               {"clockMs", clockMs()},
                               {"born", m_born},
                               {"sequence", ++m_sequence}}
                    .dump();
    m_agent.call(std::move(call), [](const HttpReply &) {});
}

void PlatformWorker::handle(const HttpRequest &request,
                            const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.target == "/v1/hold")
        return hold(request.body, exchange);
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(m_random) < m_lostAnswers) {
        m_silent.push_back(exchange);
        // Half of them are carried out all the same.
        if (chance(m_random) < 0.5)
            return;
        std::string ignored;
        if (request.target == "/v1/run-start")
            start(request.body, ignored);
        else
            stop(request.body);
        return;
    }
    std::string refusal;
    unsigned status = 200;
    if (request.target == "/v1/run-start")
        status = start(request.body, refusal);
    else
        stop(request.body);
    nlohmann::json body{{"clockMs", clockMs()}};
    if (!refusal.empty())
        body["reason"] = refusal;
    exchange->respond({status, body.dump(), {}});
}

unsigned PlatformWorker::start(const std::string &body, std::string &refusal)
{
    const nlohmann::json document = nlohmann::json::parse(body);
    const std::string task = document["task"];
    const std::uint64_t run = document["run"];
    const std::uint64_t token = document["fencingToken"];
    const std::uint64_t deadline = document["deadlineMs"];
    const auto closed = m_closed.find(task);
    if (token < m_token)
        refusal = "fence";
    else if (closed != m_closed.end() && run <= closed->second)
        refusal = "old";
    else if (deadline <= clockMs())
        refusal = "late";
    if (!refusal.empty())
        return 409;
    m_token = token;
    if (m_runs.contains(task))
        return 200;
    std::istringstream payload(document["spec"].get<std::string>());
    Run started;
    unsigned milliseconds = 0;
    std::string outcome;
    payload >> started.cpu >> milliseconds >> outcome;
    started.number = run;
    started.fails = outcome == "fail";
    started.runTime = std::chrono::milliseconds(milliseconds);
    unsigned held = 0;
    for (const auto &[name, other] : m_runs)
        held += other.cpu;
    m_judge.started(m_name, task, run, held, started.cpu, RoomCpu);
    renew(deadline);
    m_runs.emplace(task, std::move(started));
    scheduleEnd(task);
    return 200;
}

void PlatformWorker::scheduleEnd(const std::string &task)
{
    Run &run = m_runs.at(task);
    if (run.stopping)
        return;
    run.end.cancel();
    if (m_still)
        return;
    run.end = m_timers.at(m_timers.now() + run.runTime, [this, task, fails = run.fails](TimePoint) {
        end(task, fails ? "failed" : "done");
    });
}

void PlatformWorker::stop(const std::string &body)
{
    const nlohmann::json document = nlohmann::json::parse(body);
    const std::string task = document["task"];
    const std::uint64_t number = document["run"];
    if (document["fencingToken"].get<std::uint64_t>() < m_token)
        return;
    std::uint64_t &closed = m_closed[task];
    closed = std::max(closed, number);
    const auto position = m_runs.find(task);
    if (position == m_runs.end() || position->second.number != number || position->second.stopping)
        return;
    position->second.stopping = true;
    position->second.end =
        m_timers.at(m_timers.now() + StopTime, [this, task](TimePoint) { end(task, "stopped"); });
}

void PlatformWorker::end(std::string task, const std::string &how)
{
    const auto position = m_runs.find(task);
    if (position == m_runs.end())
        return;
    const std::uint64_t number = position->second.number;
    m_runs.erase(position);
    std::uint64_t &closed = m_closed[task];
    closed = std::max(closed, number);
    m_judge.ended(task, how == "done");
    m_ended.push_back({++m_lastEnd, std::move(task), number, how});
    answerHolds();
}

void PlatformWorker::hold(const std::string &body, const std::shared_ptr<HttpExchange> &exchange)
{
    const nlohmann::json document = nlohmann::json::parse(body);
    const std::uint64_t seen = document.value("lastSeen", std::uint64_t(0));
    std::erase_if(m_ended, [&](const Ended &ended) { return ended.number <= seen; });
    m_token = std::max(m_token, document["fencingToken"].get<std::uint64_t>());
    if (document.contains("deadlineMs"))
        renew(document["deadlineMs"]);
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(m_random) < m_lostAnswers) {
        m_silent.push_back(exchange);
        return;
    }
    const std::chrono::milliseconds wait(document.value("waitMs", std::uint64_t(0)));
    const std::uint64_t number = ++m_lastHold;
    m_holds.push_back({exchange, number, {}});
    if (!m_ended.empty() || wait == std::chrono::milliseconds(0))
        return answerHolds();
    m_holds.back().timeout =
        m_timers.at(m_timers.now() + wait, [this](TimePoint) { answerHolds(); });
}

void PlatformWorker::answerHolds()
{
    const std::string body = account();
    for (const Hold &waiting : std::exchange(m_holds, {}))
        waiting.exchange->respond({200, body, {}});
}

std::string PlatformWorker::account() const
{
    nlohmann::json running = nlohmann::json::array();
    for (const auto &[task, run] : m_runs)
        running.push_back({task, run.number, "", 100});
    nlohmann::json ended = nlohmann::json::array();
    for (const Ended &entry : m_ended)
        ended.push_back({entry.number, entry.task, entry.run, entry.how, ""});
    return nlohmann::json{
        {"clockMs", clockMs()}, {"born", m_born}, {"running", running}, {"ended", ended}}
        .dump();
}

void PlatformWorker::renew(std::uint64_t untilMs)
{
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clockMs() + LongestLeaseMs));
}

void PlatformWorker::standStill(bool still)
{
    m_still = still;
    for (auto &[task, run] : m_runs)
        scheduleEnd(task);
}

void PlatformWorker::crash()
{
    forgetAll();
    m_born += 1'000;
    m_restart = m_timers.at(m_timers.now() + RestartTime, [this](TimePoint) { announce(); });
}

void PlatformWorker::leave()
{
    HttpCall call;
    call.method = "DELETE";
    call.target = "/v1/instances/" + m_name;
    m_agent.call(std::move(call), [](const HttpReply &) {});
    m_announcement.cancel();
    forgetAll();
    m_server.reset();
}

std::string PlatformWorker::address() const
{
    return "127.0.0.1:" + std::to_string(m_server->port());
}

void PlatformWorker::forgetAll()
{
    for (const auto &[task, run] : m_runs)
        m_judge.ended(task, false);
    m_runs.clear();
    m_closed.clear();
    m_ended.clear();
    m_holds.clear();
    m_silent.clear();
    m_lastEnd = 0;
    m_token = 0;
    m_sequence = 0;
    m_still = false;
}

} // namespace Bluebellquay::Testing
