#include "standins/loadgenerator.h"

#include <algorithm>
#include <chrono>

namespace Bluebellquay {

namespace {

using bluebellquay::v1::SubmissionResponse;

// A repeat of such a call gives the same error.
bool isRejection(ConnectCode code)
{
    switch (code) {
    case ConnectCode::InvalidArgument:
    case ConnectCode::NotFound:
    case ConnectCode::AlreadyExists:
    case ConnectCode::PermissionDenied:
    case ConnectCode::FailedPrecondition:
    case ConnectCode::OutOfRange:
    case ConnectCode::Unimplemented:
    case ConnectCode::Unauthenticated:
        return true;
    default:
        return false;
    }
}

std::string outcomeName(bluebellquay::v1::Outcome outcome)
{
    switch (outcome) {
    case bluebellquay::v1::OUTCOME_COMPLETED:
        return "completed";
    case bluebellquay::v1::OUTCOME_FAILED:
        return "failed";
    case bluebellquay::v1::OUTCOME_NOT_RUN:
        return "not_run";
    default:
        return "unknown";
    }
}

} // namespace

boost::leaf::result<std::unique_ptr<LoadGenerator>>
LoadGenerator::create(boost::asio::io_context &context, TimerService &timers, LoadOptions options,
                      LoadReport &report)
{
    EntryClients clients;
    for (const std::string &entry : options.entries) {
        ConnectClientSettings settings;
        settings.address = entry;
        settings.maxConnections = options.connections;
        BOOST_LEAF_AUTO(client, ConnectClient::create(context, std::move(settings)));
        clients.push_back(std::move(client));
    }
    return std::unique_ptr<LoadGenerator>(
        new LoadGenerator(timers, std::move(options), report, std::move(clients)));
}

LoadGenerator::LoadGenerator(TimerService &timers, LoadOptions options, LoadReport &report,
                             EntryClients entries)
    : m_timers(timers)
    , m_options(std::move(options))
    , m_report(report)
    , m_workload(m_options.workload)
    , m_entries(std::move(entries))
    , m_ids(
          std::make_unique<IdPool>(timers, m_entries, m_options.reserveBatch, m_options.retryDelay))
{ }

void LoadGenerator::start(std::function<void()> finished)
{
    m_finished = std::move(finished);
    m_start = m_timers.now();
    m_nextArrival = m_start;
    m_endTimer = m_timers.at(m_start + m_options.length, [this](TimePoint) { checkFinished(); });
    if (!m_options.closedLoop) {
        arrive();
        return;
    }
    for (std::uint32_t i = 0; i < m_options.connections; ++i)
        for (std::size_t entry = 0; entry < m_entries.size() && sending(); ++entry)
            submit(entry);
}

void LoadGenerator::abort()
{
    m_aborted = true;
    m_arrivalTimer.cancel();
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, open] : m_open)
        numbers.push_back(number);
    for (const std::uint64_t number : numbers)
        finish(number, m_open.at(number).record.attempts == 0 ? "not_sent" : "unfinished");
    checkFinished();
}

bool LoadGenerator::sending() const
{
    return !m_aborted && m_sent < m_options.count && m_timers.now() - m_start < m_options.length;
}

double LoadGenerator::currentRate() const
{
    const Duration elapsed = m_nextArrival - m_start;
    const bool crest =
        elapsed >= m_options.crestStart && elapsed < m_options.crestStart + m_options.crestLength;
    return m_options.rate * (crest ? m_options.crestFactor : 1);
}

// Catches up on all arrivals that are due, so that a late event loop does not lower the rate.
void LoadGenerator::arrive()
{
    while (sending() && m_nextArrival <= m_timers.now()) {
        submit(m_nextEntry++ % m_entries.size());
        m_nextArrival += m_workload.nextGap(currentRate());
    }
    if (sending())
        m_arrivalTimer = m_timers.at(m_nextArrival, [this](TimePoint) { arrive(); });
    else
        checkFinished();
}

void LoadGenerator::submit(std::size_t entry)
{
    PlannedSubmission planned = m_workload.next();
    ++m_sent;
    const std::uint64_t number = planned.number;
    Open &open = m_open[number];
    open.arrival = m_options.closedLoop ? m_timers.now() : m_nextArrival;
    open.record.number = number;
    open.record.branch = planned.job.branch();
    open.record.kind = planned.job.kind();
    open.record.tasks = static_cast<std::uint32_t>(planned.job.tasks_size());
    open.record.arrival = open.arrival - m_start;
    open.record.longestRun = planned.longestRun;
    open.record.work = planned.work;
    open.record.entry = entry;
    open.request.mutable_job()->Swap(&planned.job);
    open.request.set_deadline_ms(m_options.deadlineMs);
    if (!m_options.closedLoop && m_open.size() > m_options.maxOpen) {
        open.record.reason = "too_many_open";
        finish(number, "not_sent");
        return;
    }
    m_ids->take([this, number](std::string id) {
        const auto position = m_open.find(number);
        if (position == m_open.end())
            return;
        position->second.record.id = id;
        position->second.request.set_id(std::move(id));
        send(number);
    });
}

void LoadGenerator::send(std::uint64_t number)
{
    Open &open = m_open.at(number);
    open.request.set_attempt(++open.record.attempts);
    m_entries[open.record.entry]->call<SubmissionResponse>(
        "bluebellquay.v1.Dispatcher/Submit", open.request, m_options.callTimeout,
        [this, number](const ConnectResult<Response> &result) { onResult(number, result); });
}

void LoadGenerator::onResult(std::uint64_t number, const ConnectResult<Response> &result)
{
    const auto position = m_open.find(number);
    if (position == m_open.end())
        return;
    if (const auto *response = std::get_if<Response>(&result))
        onResponse(position->second, *response);
    else
        onError(position->second, std::get<ConnectError>(result));
}

void LoadGenerator::onResponse(Open &open, const Response &response)
{
    open.record.reason = response.reason();
    open.record.detail = response.detail();
    open.record.retryAfterMs = response.retry_after_ms();
    checkOutputs(open, response);
    const std::string outcome = outcomeName(response.outcome());
    const bool running = response.outcome() == bluebellquay::v1::OUTCOME_RUNNING;
    if (outcome != "unknown" || (response.retry_after_ms() == 0 && !running)) {
        finish(open.record.number, outcome);
        return;
    }
    again(open,
          std::max<Duration>(m_options.retryDelay,
                             std::chrono::milliseconds(response.retry_after_ms())));
}

void LoadGenerator::onError(Open &open, const ConnectError &error)
{
    const std::string code(toString(error.code));
    m_report.addCallError(code);
    open.record.reason = "connect_" + code;
    open.record.detail = error.message;
    open.record.retryAfterMs = 0;
    if (isRejection(error.code))
        finish(open.record.number, "error");
    else
        again(open, m_options.retryDelay);
}

void LoadGenerator::checkOutputs(Open &open, const Response &response) const
{
    LoadRecord &record = open.record;
    record.crossed = record.crossed || response.id() != record.id;
    const bool completed = response.outcome() == bluebellquay::v1::OUTCOME_COMPLETED;
    const auto expected = completed ? static_cast<int>(record.tasks) : 0;
    record.partial = record.partial || response.outputs_size() != expected;
    for (int i = 0; i < std::min(expected, response.outputs_size()); ++i)
        record.crossed =
            record.crossed || response.outputs(i) != expectedOutput(record.id, record.number, i);
}

void LoadGenerator::again(Open &open, Duration delay)
{
    const std::uint64_t number = open.record.number;
    if (open.record.attempts >= m_options.maxAttempts) {
        finish(number, "unknown");
        return;
    }
    open.record.entry = (open.record.entry + 1) % m_entries.size();
    open.retry = m_timers.at(m_timers.now() + delay, [this, number](TimePoint) { send(number); });
}

void LoadGenerator::finish(std::uint64_t number, const std::string &outcome)
{
    const auto position = m_open.find(number);
    LoadRecord record = std::move(position->second.record);
    const TimePoint arrival = position->second.arrival;
    m_open.erase(position);
    record.outcome = outcome;
    record.latency = m_timers.now() - arrival;
    m_report.add(record);
    if (m_options.closedLoop && sending())
        submit(record.entry);
    else
        checkFinished();
}

void LoadGenerator::checkFinished()
{
    if (!m_finished || sending())
        return;
    if (m_open.empty()) {
        m_lingerTimer.cancel();
        std::exchange(m_finished, nullptr)();
        return;
    }
    if (!m_lingerTimer.active())
        m_lingerTimer =
            m_timers.at(m_timers.now() + m_options.linger, [this](TimePoint) { abort(); });
}

} // namespace Bluebellquay
