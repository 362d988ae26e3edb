// Sends a workload to entries and checks each answer.
//
// Open loop: submissions arrive at a rate, whether or not earlier ones are answered, and latency
// counts from the arrival. Closed loop: a number of callers each send the next submission when the
// last one has its final answer.
#pragma once

#include "kernel/timerservice.h"
#include "standins/idpool.h"
#include "standins/loadreport.h"
#include "standins/workload.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Bluebellquay {

struct LoadOptions
{
    // host:port of caller listeners.
    std::vector<std::string> entries;
    WorkloadOptions workload;
    bool closedLoop = false;
    // Submissions per second in the open loop, and the factor during a crest.
    double rate = 100;
    double crestFactor = 1;
    Duration crestStart{0};
    Duration crestLength{0};
    // The run sends no more after this many submissions or this time.
    std::uint64_t count = 1000;
    Duration length{60'000'000};
    // Submissions without an answer are given up this long after the last one was sent.
    Duration linger{60'000'000};
    // To each entry. In the closed loop also the number of callers at each entry.
    std::uint32_t connections = 64;
    // Open loop only: arrivals beyond this many open submissions are not sent.
    std::uint32_t maxOpen = 20'000;
    std::uint32_t maxAttempts = 10;
    // Before a resubmission, unless the answer says when.
    Duration retryDelay{100'000};
    Duration callTimeout{60'000'000};
    std::uint32_t reserveBatch = 100;
    // Sent with each submission; 0 for none.
    std::uint32_t deadlineMs = 0;
};

class LoadGenerator
{
public:
    // Errors: AddressError.
    static boost::leaf::result<std::unique_ptr<LoadGenerator>>
    create(boost::asio::io_context &context, TimerService &timers, LoadOptions options,
           LoadReport &report);
    // What is open is not reported.
    ~LoadGenerator() = default;
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    // Calls back when each submission is in the report. Call once.
    void start(std::function<void()> finished);
    // Sends nothing new and reports what is open as unfinished.
    void abort();

private:
    struct Open
    {
        LoadRecord record;
        bluebellquay::v1::SubmitRequest request;
        TimePoint arrival;
        // Waiting for a resubmission.
        TimerSubscription retry;
    };
    using Response = bluebellquay::v1::SubmissionResponse;
    using OpenSubmissions = std::unordered_map<std::uint64_t, Open>;

    LoadGenerator(TimerService &timers, LoadOptions options, LoadReport &report,
                  EntryClients entries);
    bool sending() const;
    double currentRate() const;
    void arrive();
    // Adds the next submission of the workload; it starts with this entry.
    void submit(std::size_t entry);
    void send(std::uint64_t number);
    void onResult(std::uint64_t number, const ConnectResult<Response> &result);
    void onResponse(Open &open, const Response &response);
    void onError(Open &open, const ConnectError &error);
    void checkOutputs(Open &open, const Response &response) const;
    // Sends again with the same id through the next entry, or gives up.
    void again(Open &open, Duration delay);
    void finish(std::uint64_t number, const std::string &outcome);
    void checkFinished();

    TimerService &m_timers;
    LoadOptions m_options;
    LoadReport &m_report;
    Workload m_workload;
    TimePoint m_start;
    // Of the next arrival in the open loop.
    TimePoint m_nextArrival;
    std::uint64_t m_sent = 0;
    bool m_aborted = false;
    std::size_t m_nextEntry = 0;
    // By number.
    OpenSubmissions m_open;
    std::function<void()> m_finished;
    TimerSubscription m_arrivalTimer;
    TimerSubscription m_endTimer;
    // Active from the end of sending.
    TimerSubscription m_lingerTimer;
    EntryClients m_entries;
    std::unique_ptr<IdPool> m_ids;
};

} // namespace Bluebellquay
