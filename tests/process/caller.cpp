#include "process/caller.h"

#include "standins/taskprogram.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <thread>

namespace Bluebellquay::Testing {

namespace {

constexpr std::chrono::milliseconds RetryDelay(50);
constexpr std::chrono::seconds CallTimeout(5);
constexpr std::chrono::minutes ReserveLimit(1);

} // namespace

Caller::Caller(const std::vector<std::string> &entries)
{
    for (const std::string &entry : entries) {
        ConnectClientSettings settings;
        settings.address = entry;
        auto client = ConnectClient::create(m_context, settings);
        if (!client)
            throw std::runtime_error("bad address " + entry);
        m_clients.push_back(std::move(*client));
    }
}

std::string Caller::reserveId()
{
    const auto deadline = std::chrono::steady_clock::now() + ReserveLimit;
    while (std::chrono::steady_clock::now() < deadline) {
        bluebellquay::v1::ReserveIdsRequest request;
        request.set_count(1);
        const auto result = call<bluebellquay::v1::ReserveIdsResponse>(
            m_next++ % m_clients.size(), "ReserveIds", request, CallTimeout);
        const auto *response = std::get_if<bluebellquay::v1::ReserveIdsResponse>(&result);
        if (response != nullptr && response->ids_size() == 1)
            return response->ids(0);
        std::this_thread::sleep_for(RetryDelay);
    }
    throw std::runtime_error("no entry issued a submission id");
}

bluebellquay::v1::SubmissionResponse Caller::submitUntilFinal(const std::string &id,
                                                              const bluebellquay::v1::Job &job,
                                                              std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    bluebellquay::v1::SubmissionResponse last;
    last.set_outcome(bluebellquay::v1::OUTCOME_UNKNOWN);
    bluebellquay::v1::SubmitRequest request;
    request.set_id(id);
    *request.mutable_job() = job;
    while (std::chrono::steady_clock::now() < deadline) {
        request.set_attempt(request.attempt() + 1);
        auto result = call<bluebellquay::v1::SubmissionResponse>(m_next++ % m_clients.size(),
                                                                 "Submit", request, CallTimeout);
        if (auto *response = std::get_if<bluebellquay::v1::SubmissionResponse>(&result)) {
            last = std::move(*response);
            if (isFinal(last))
                return last;
        }
        std::this_thread::sleep_for(RetryDelay);
    }
    return last;
}

bluebellquay::v1::Job makeJob(const std::string &branch, const std::string &kind, std::size_t tasks,
                              std::chrono::milliseconds runTime, const std::string &label)
{
    bluebellquay::v1::Job job;
    job.set_branch(branch);
    job.set_customer("test");
    job.set_team("test");
    job.set_kind(kind);
    for (std::size_t i = 0; i < tasks; ++i) {
        TaskProgram program;
        program.runTime = runTime;
        program.echo = label + "/" + std::to_string(i);
        job.add_tasks()->set_payload(program.toPayload());
    }
    return job;
}

bool isWholeAnswer(const bluebellquay::v1::SubmissionResponse &response, std::size_t tasks,
                   const std::string &label)
{
    if (response.outcome() != bluebellquay::v1::OUTCOME_COMPLETED
        || static_cast<std::size_t>(response.outputs_size()) != tasks)
        return false;
    for (std::size_t i = 0; i < tasks; ++i) {
        const auto output =
            nlohmann::json::parse(response.outputs(static_cast<int>(i)), nullptr, false);
        if (!output.is_object() || output.value("echo", "") != label + "/" + std::to_string(i)
            || output.value("task", "") != response.id() + "/" + std::to_string(i))
            return false;
    }
    return true;
}

bool isFinal(const bluebellquay::v1::SubmissionResponse &response)
{
    switch (response.outcome()) {
    case bluebellquay::v1::OUTCOME_COMPLETED:
    case bluebellquay::v1::OUTCOME_FAILED:
    case bluebellquay::v1::OUTCOME_NOT_RUN:
        return true;
    case bluebellquay::v1::OUTCOME_UNKNOWN:
        return response.retry_after_ms() == 0;
    default:
        return false;
    }
}

} // namespace Bluebellquay::Testing
