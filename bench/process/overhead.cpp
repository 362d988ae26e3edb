#include "bench/process/measurements.h"
#include "bluebellquay/v1/upstream.pb.h"
#include "process/caller.h"
#include "standins/taskprogram.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <stdexcept>

namespace Bluebellquay::Benchmark {

namespace {

namespace v1 = bluebellquay::v1;
using Clock = std::chrono::steady_clock;

constexpr double P50BoundMs = 1;
constexpr double P99BoundMs = 3;
constexpr unsigned QuickRequests = 1'000;
constexpr unsigned FullRequests = 10'000;
constexpr unsigned WarmUpRequests = 50;
constexpr unsigned IdsPerReserve = 100;
constexpr std::chrono::seconds CallTimeout(10);
// Time limit for one series of calls, so that a slow machine does not prolong the whole run.
constexpr std::chrono::seconds QuickLimit(4);
constexpr std::chrono::seconds FullLimit(60);

// Sorted times in milliseconds of calls made one after the other.
std::vector<double> timeCalls(unsigned count, std::chrono::seconds limit,
                              const std::function<void(unsigned)> &call)
{
    std::vector<double> times;
    const Clock::time_point end = Clock::now() + limit;
    for (unsigned i = 0; i < WarmUpRequests + count && (times.empty() || Clock::now() < end); ++i) {
        const Clock::time_point start = Clock::now();
        call(i);
        if (i >= WarmUpRequests)
            times.push_back(
                std::chrono::duration<double, std::milli>(Clock::now() - start).count());
    }
    std::sort(times.begin(), times.end());
    return times;
}

// Nearest-rank quantile of sorted values.
double quantile(const std::vector<double> &sorted, double fraction)
{
    const auto rank =
        static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    return sorted.at(std::max<std::size_t>(rank, 1) - 1);
}

std::vector<std::string> reserveIds(Testing::Caller &caller, unsigned count)
{
    std::vector<std::string> ids;
    v1::ReserveIdsRequest request;
    request.set_count(IdsPerReserve);
    while (ids.size() < count) {
        const auto result =
            caller.call<v1::ReserveIdsResponse>(0, "ReserveIds", request, CallTimeout);
        const auto *response = std::get_if<v1::ReserveIdsResponse>(&result);
        if (response == nullptr || response->ids_size() == 0)
            throw std::runtime_error("no submission ids issued");
        ids.insert(ids.end(), response->ids().begin(), response->ids().end());
    }
    return ids;
}

std::vector<double> timeSubmissions(const Testing::Site &site, unsigned count,
                                    std::chrono::seconds limit)
{
    Testing::Caller caller({site.callerAddress(0)});
    v1::SubmitRequest request;
    request.set_attempt(1);
    *request.mutable_job() =
        Testing::makeJob("hinokuni", "search", 1, std::chrono::milliseconds(0), "x");
    // Ids are reserved ahead of the timed calls, as a caller with a pool of ids does.
    const std::vector<std::string> ids = reserveIds(caller, WarmUpRequests + count);
    return timeCalls(count, limit, [&](unsigned number) {
        request.set_id(ids.at(number));
        const auto result = caller.call<v1::SubmissionResponse>(0, "Submit", request, CallTimeout);
        const auto *response = std::get_if<v1::SubmissionResponse>(&result);
        if (response == nullptr || response->outcome() != v1::OUTCOME_COMPLETED)
            throw std::runtime_error("a request in an empty system was not completed");
    });
}

// The stand-in upstream prints its port as its first line.
std::string upstreamAddress(const Testing::Site &site)
{
    const std::string log = site.log("upstream-0");
    return "127.0.0.1:" + log.substr(0, log.find('\n'));
}

std::vector<double> timeUpstreamCalls(const Testing::Site &site, unsigned count,
                                      std::chrono::seconds limit)
{
    boost::asio::io_context context;
    ConnectClientSettings settings;
    settings.address = upstreamAddress(site);
    auto created = ConnectClient::create(context, settings);
    if (!created)
        throw std::runtime_error("bad address " + settings.address);
    const std::unique_ptr<ConnectClient> client = std::move(*created);
    v1::RunTaskRequest request;
    request.set_attempt(1);
    request.set_payload(TaskProgram{Duration(0), false, "x"}.toPayload());
    return timeCalls(count, limit, [&](unsigned number) {
        request.set_task("baseline/" + std::to_string(number));
        bool ended = false;
        bool succeeded = false;
        client->call<v1::RunTaskResponse>("bluebellquay.v1.Upstream/RunTask", request, CallTimeout,
                                          [&](const ConnectResult<v1::RunTaskResponse> &result) {
                                              ended = true;
                                              const auto *response =
                                                  std::get_if<v1::RunTaskResponse>(&result);
                                              succeeded =
                                                  response != nullptr && response->succeeded();
                                          });
        context.restart();
        while (!ended && context.run_one() > 0) { }
        if (!succeeded)
            throw std::runtime_error("a task at the upstream itself was not completed");
    });
}

} // namespace

Measures measureOverhead(const Testing::Site &site, bool quick)
{
    const unsigned count = quick ? QuickRequests : FullRequests;
    const std::chrono::seconds limit = quick ? QuickLimit : FullLimit;
    const std::vector<double> direct = timeUpstreamCalls(site, count, limit);
    const std::vector<double> times = timeSubmissions(site, count, limit);
    const std::string note =
        std::to_string(times.size()) + " requests; baseline: the upstream called directly";
    return {{"overhead_ms_p50", quantile(times, 0.5), "ms", P50BoundMs, Direction::AtMost,
             quantile(direct, 0.5), note},
            {"overhead_ms_p99", quantile(times, 0.99), "ms", P99BoundMs, Direction::AtMost,
             quantile(direct, 0.99), note}};
}

} // namespace Bluebellquay::Benchmark
