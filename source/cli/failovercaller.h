// Makes blocking calls to the first of several addresses that answers.
//
// All calls of the interface are idempotent: submissions by their id, configuration changes by
// their change id, the others because a repeat changes nothing. Therefore a call without an answer
// is retried at the next address.
#pragma once

#include "base/coretime.h"
#include "net/connectclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/leaf.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Bluebellquay {

// A call that got no answer, or an error as answer.
struct CallFailure
{
    ConnectError error;
    // True if the system answered with this error and a retry would not change it.
    bool final = false;
    // True if an attempt may have reached the system.
    bool maybeReceived = false;
};

template <typename Response>
using CallResult = std::variant<Response, CallFailure>;

class FailoverCaller
{
public:
    using Clock = std::chrono::steady_clock;

    // Needs at least one address, each as IP:PORT. The deadline ends all calls. Fails with
    // AddressError.
    static boost::leaf::result<std::unique_ptr<FailoverCaller>>
    create(const std::vector<std::string> &addresses, const std::string &secret,
           Clock::time_point deadline);

    // Retries the call until there is an answer, the deadline passes, or several rounds over all
    // addresses found none reachable. An attempt that has no answer within the limit is given up
    // and repeated at the next address, because its connection may have gone silent.
    template <typename Response, typename Request>
    CallResult<Response> call(std::string_view method, const Request &request,
                              Duration attemptLimit)
    {
        CallFailure failure{{ConnectCode::DeadlineExceeded, "the time is over"}, false, false};
        unsigned unreachable = 0;
        for (unsigned attempt = 0; remaining() > Duration(0); ++attempt) {
            auto result = callOnce<Response>(method, request, attemptLimit);
            if (auto *response = std::get_if<Response>(&result))
                return std::move(*response);
            failure.error = std::get<ConnectError>(result);
            if (!retryable(failure.error.code)) {
                failure.final = true;
                failure.maybeReceived = true;
                return failure;
            }
            const bool notSent =
                failure.error.code == ConnectCode::Unavailable && !failure.error.fromPeer;
            failure.maybeReceived = failure.maybeReceived || !notSent;
            unreachable = notSent ? unreachable + 1 : 0;
            if (unreachable >= MaxUnreachableRounds * m_clients.size())
                break;
            selectNextAddress(attempt);
        }
        return failure;
    }

    // Makes one attempt at the current address.
    template <typename Response, typename Request>
    ConnectResult<Response> callOnce(std::string_view method, const Request &request,
                                     Duration limit)
    {
        std::optional<ConnectResult<Response>> result;
        m_clients[m_current]->template call<Response>(
            method, request, std::min(limit, remaining()),
            [&result](ConnectResult<Response> answer) { result = std::move(answer); });
        wait([&result] { return result.has_value(); });
        return std::move(*result);
    }

    // Sets a function that is called about once per interval while a call waits for its answer. The
    // function may make calls itself.
    void setTick(Duration interval, std::function<void()> tick);
    // Sleeps for the given time, but not past the deadline.
    void pause(Duration time);
    // Time until the deadline; zero if it has passed.
    Duration remaining() const;

private:
    static constexpr unsigned MaxUnreachableRounds = 3;

    explicit FailoverCaller(Clock::time_point deadline)
        : m_deadline(deadline)
    { }

    static bool retryable(ConnectCode code);
    // Selects the next address, and sleeps after each round over all addresses.
    void selectNextAddress(unsigned attempt);
    void wait(const std::function<bool()> &done);

    boost::asio::io_context m_context;
    std::vector<std::unique_ptr<ConnectClient>> m_clients;
    std::size_t m_current = 0;
    Clock::time_point m_deadline;
    Duration m_tickInterval{0};
    std::function<void()> m_tick;
    // True while m_tick runs, so that calls made by it don't run it again.
    bool m_ticking = false;
};

} // namespace Bluebellquay
