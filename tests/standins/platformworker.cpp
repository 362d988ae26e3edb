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
// Leaves room for births that are said to be earlier.
constexpr std::uint64_t FirstBirthMs = 1'000'000'000;
// Just below the time after which an agent counts a call as not answered.
constexpr Duration ShortestSlowCall{80'000};
constexpr Duration LongestSlowCall{108'000};
constexpr Duration LongestLateCall{3'000'000};
// In thousandths; the worker's steady clock may be 2% slow.
constexpr std::uint64_t SlowClockRate = 980;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusMisdirected = 421;

} // namespace

void PlatformJudge::started(const std::string &worker, const std::string &task, std::uint64_t run,
                            unsigned heldCpu, unsigned cpu, unsigned roomCpu)
{
    ++m_starts;
    ++m_startsOn[worker];
    ++m_startsOf[task];
    m_startedJobs.insert(task.substr(0, task.find('.')));
    const std::string what = task + " run " + std::to_string(run) + " on " + worker;
    m_observer("start " + what);
    std::vector<Run> &runs = m_running[task];
    for (const Run &other : runs)
        report("two runs at a time: " + what + ", beside run " + std::to_string(other.number)
               + " on " + other.worker);
    runs.push_back({worker, run});
    if (heldCpu + cpu > roomCpu)
        report("over the room: " + what);
}

void PlatformJudge::ended(const std::string &worker, const std::string &task, std::uint64_t run,
                          const std::string &how)
{
    m_observer("end " + task + " run " + std::to_string(run) + " on " + worker + ' ' + how);
    std::vector<Run> &runs = m_running[task];
    const auto position = std::find_if(runs.begin(), runs.end(), [&](const Run &other) {
        return other.worker == worker && other.number == run;
    });
    if (position == runs.end())
        return report("ended without a start: " + task + " on " + worker);
    runs.erase(position);
    if (how == "done")
        m_done.insert(task);
}

bool PlatformJudge::isRunningOn(const std::string &task, const std::string &worker) const
{
    const auto runs = m_running.find(task);
    return runs != m_running.end()
        && std::any_of(runs->second.begin(), runs->second.end(),
                       [&](const Run &run) { return run.worker == worker; });
}

void PlatformJudge::report(const std::string &violation)
{
    m_observer("violation " + violation);
    m_violations.push_back(violation);
}

PlatformWorker::PlatformWorker(boost::asio::io_context &context, TimerService &timers,
                               PlatformJudge &judge, std::string name,
                               boost::asio::ip::tcp::endpoint agent, std::uint64_t seed)
    : m_timers(timers)
    , m_judge(judge)
    , m_name(std::move(name))
    , m_random(seed)
    , m_agent(context, timers, std::move(agent))
    , m_begunAt(timers.now())
    , m_clockRate(seed % 2 == 0 ? SlowClockRate : 1'000)
    , m_born(FirstBirthMs)
{
    m_server = serveOnLoopback(context, timers, *this, &PlatformWorker::handle);
    m_port = m_server->port();
    m_announcement = timers.every(AnnounceInterval, [this](TimePoint) { announce(); });
    m_leaseCheck = timers.every(LeaseCheckInterval, [this](TimePoint) {
        while (clockMs() >= m_leaseUntilMs && !m_runs.empty())
            end(m_runs.begin()->first, "lapsed");
    });
}

std::uint64_t PlatformWorker::clockMs() const
{
    const auto elapsed = static_cast<std::uint64_t>((m_timers.now() - m_begunAt).count());
    return elapsed / 1'000 * m_clockRate / 1'000 + 1;
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
    m_lastAnnouncement = {call.target, call.body};
    m_agent.call(std::move(call), [](const HttpReply &) {});
}

void PlatformWorker::handle(const HttpRequest &request,
                            const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.header("X-Bluebellquay-Expected-Instance") != m_name)
        return exchange->respond({StatusMisdirected, {}, {}});
    if (request.target == "/v1/hold")
        return hold(request.body, exchange);
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(m_random) < m_lostAnswers) {
        m_silent.push_back(exchange);
        if (chance(m_random) < 0.5)
            return;
        if (chance(m_random) < 0.5)
            return carryOutLate(request, nullptr, pick(Duration(0), LongestLateCall));
        carryOut(request);
        return;
    }
    if (m_slow)
        return carryOutLate(request, exchange, pick(ShortestSlowCall, LongestSlowCall));
    exchange->respond(carryOut(request));
}

void PlatformWorker::carryOutLate(const HttpRequest &request,
                                  std::shared_ptr<HttpExchange> exchange, Duration delay)
{
    m_lateCalls.push_back(m_timers.at(
        m_timers.now() + delay, [this, request, exchange = std::move(exchange)](TimePoint) {
            // Another life may have come meanwhile.
            const bool expected = request.header("X-Bluebellquay-Expected-Instance") == m_name;
            HttpResponse response{StatusMisdirected, {}, {}};
            if (expected)
                response = carryOut(request);
            if (exchange)
                exchange->respond(std::move(response));
        }));
}

HttpResponse PlatformWorker::carryOut(const HttpRequest &request)
{
    std::string refusal;
    const unsigned status = request.target == "/v1/run-start" ? start(request.body, refusal)
                                                              : stop(request.body, refusal);
    nlohmann::json body{{"clockMs", clockMs()}};
    if (!refusal.empty())
        body["reason"] = refusal;
    return {status, body.dump(), {}};
}

Duration PlatformWorker::pick(Duration low, Duration high)
{
    return Duration(
        std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(m_random));
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
    m_token = std::max(m_token, token);
    if (refusal.empty() || refusal == "old")
        renew(deadline);
    if (!refusal.empty())
        return StatusConflict;
    const RunId id(task, run);
    if (m_runs.contains(id))
        return StatusOk;
    std::istringstream payload(document["spec"].get<std::string>());
    Run started;
    unsigned milliseconds = 0;
    std::string outcome;
    payload >> started.cpu >> milliseconds >> outcome;
    started.fails = outcome == "fail";
    started.runTime = std::chrono::milliseconds(milliseconds);
    unsigned held = 0;
    for (const auto &[name, other] : m_runs)
        held += other.cpu;
    m_judge.started(m_name, task, run, held, started.cpu, RoomCpu);
    m_runs.emplace(id, std::move(started));
    scheduleEnd(id);
    return StatusOk;
}

void PlatformWorker::scheduleEnd(const RunId &id)
{
    Run &run = m_runs.at(id);
    if (run.stopping)
        return;
    run.end.cancel();
    if (m_still)
        return;
    run.end = m_timers.at(m_timers.now() + run.runTime, [this, id, fails = run.fails](TimePoint) {
        end(id, fails ? "failed" : "done");
    });
}

unsigned PlatformWorker::stop(const std::string &body, std::string &refusal)
{
    const nlohmann::json document = nlohmann::json::parse(body);
    const std::string task = document["task"];
    const std::uint64_t number = document["run"];
    const std::uint64_t token = document["fencingToken"];
    if (token < m_token) {
        refusal = "fence";
        return StatusConflict;
    }
    m_token = token;
    std::uint64_t &closed = m_closed[task];
    closed = std::max(closed, number);
    const RunId id(task, number);
    const auto position = m_runs.find(id);
    if (position == m_runs.end() || position->second.stopping)
        return StatusOk;
    position->second.stopping = true;
    position->second.end =
        m_timers.at(m_timers.now() + StopTime, [this, id](TimePoint) { end(id, "stopped"); });
    return StatusOk;
}

void PlatformWorker::end(const RunId &id, const std::string &how)
{
    const auto run = m_runs.extract(id);
    if (run.empty())
        return;
    const auto &[task, number] = run.key();
    std::uint64_t &closed = m_closed[task];
    closed = std::max(closed, number);
    m_judge.ended(m_name, task, number, how);
    m_ended.push_back({++m_lastEnd, task, number, how});
    answerHolds();
}

void PlatformWorker::hold(const std::string &body, const std::shared_ptr<HttpExchange> &exchange)
{
    const nlohmann::json document = nlohmann::json::parse(body);
    const std::uint64_t seen = document.value("lastSeen", std::uint64_t(0));
    const std::uint64_t token = document["fencingToken"];
    if (token < m_token) {
        const nlohmann::json refusal{{"clockMs", clockMs()}, {"reason", "fence"}};
        return exchange->respond({StatusConflict, refusal.dump(), {}});
    }
    std::erase_if(m_ended, [&](const Ended &ended) { return ended.number <= seen; });
    m_token = token;
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
    const std::string body = listing();
    for (const Hold &waiting : std::exchange(m_holds, {}))
        waiting.exchange->respond({200, body, {}});
}

std::string PlatformWorker::listing() const
{
    nlohmann::json running = nlohmann::json::array();
    for (const auto &[id, run] : m_runs)
        running.push_back({id.first, id.second, "", 100});
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
    for (auto &[id, run] : m_runs)
        scheduleEnd(id);
}

void PlatformWorker::restartAs(std::string name, std::int64_t bornStepMs)
{
    forgetAll();
    m_earlierAnnouncement = m_lastAnnouncement;
    m_name = std::move(name);
    m_born += static_cast<std::uint64_t>(bornStepMs);
    m_restart = m_timers.at(m_timers.now() + RestartTime, [this](TimePoint) { announce(); });
}

void PlatformWorker::leave()
{
    HttpCall call;
    call.method = "DELETE";
    call.target = "/v1/instances/" + m_name;
    m_agent.call(std::move(call), [](const HttpReply &) {});
    vanish();
}

void PlatformWorker::vanish()
{
    m_announcement.cancel();
    m_restart.cancel();
    m_server.reset();
    forgetAll();
    m_lateCalls.clear();
    m_silent.clear();
}

std::string PlatformWorker::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void PlatformWorker::forgetAll()
{
    for (const auto &[id, run] : m_runs)
        m_judge.ended(m_name, id.first, id.second, "gone");
    m_runs.clear();
    m_closed.clear();
    m_ended.clear();
    // An exchange that is let go would be answered, which a worker that is gone does not do.
    for (Hold &waiting : m_holds)
        m_silent.push_back(std::move(waiting.exchange));
    m_holds.clear();
    m_begunAt = m_timers.now();
    m_leaseUntilMs = 0;
    m_lastEnd = 0;
    m_token = 0;
    m_sequence = 0;
    m_still = false;
}

} // namespace Bluebellquay::Testing
