// A caller for process tests: blocking calls to the entries of a site, with resubmission by id.
#pragma once

#include "bluebellquay/v1/dispatcher.pb.h"
#include "net/connectclient.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Bluebellquay::Testing {

class Caller
{
public:
    explicit Caller(const std::vector<std::string> &entries);

    template <typename Response, typename Request>
    ConnectResult<Response> call(std::size_t entry, const std::string &method,
                                 const Request &request,
                                 std::chrono::milliseconds timeout = std::chrono::seconds(30))
    {
        std::optional<ConnectResult<Response>> result;
        m_clients.at(entry)->template call<Response>(
            "bluebellquay.v1.Dispatcher/" + method, request, timeout,
            [&](ConnectResult<Response> answer) { result = std::move(answer); });
        m_context.restart();
        while (!result && m_context.run_one() > 0) { }
        return std::move(*result);
    }

    // Reserves one id through any entry; throws std::runtime_error if none answers for a minute.
    std::string reserveId();
    // Repeats the submission under one id, through one entry after the other, until it has a final
    // answer or the limit has passed; the last response is returned then.
    bluebellquay::v1::SubmissionResponse
    submitUntilFinal(const std::string &id, const bluebellquay::v1::Job &job,
                     std::chrono::milliseconds limit = std::chrono::seconds(60));

private:
    boost::asio::io_context m_context;
    std::vector<std::unique_ptr<ConnectClient>> m_clients;
    std::size_t m_next = 0;
};

// A job of tasks that run for the given time each and echo "<label>/<index>".
bluebellquay::v1::Job makeJob(const std::string &branch, const std::string &kind, std::size_t tasks,
                              std::chrono::milliseconds runTime, const std::string &label);

// Completed, with one output for each task that names the task's own echo.
bool isWholeAnswer(const bluebellquay::v1::SubmissionResponse &response, std::size_t tasks,
                   const std::string &label);

// Completed, failed, not run, or unknown without a time to come back.
bool isFinal(const bluebellquay::v1::SubmissionResponse &response);

} // namespace Bluebellquay::Testing
