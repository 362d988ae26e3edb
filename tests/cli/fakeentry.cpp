#include "cli/fakeentry.h"

#include <algorithm>
#include <utility>

namespace Bluebellquay::Testing {

namespace api = bluebellquay::v1;

namespace {

std::unique_ptr<ConnectServer> listen(boost::asio::io_context &context,
                                      std::optional<std::string> secret)
{
    ConnectServerSettings settings;
    settings.endpoint = {boost::asio::ip::address_v4::loopback(), 0};
    settings.bearerSecret = std::move(secret);
    return ConnectServer::create(context, settings).value();
}

} // namespace

FakeEntry::Answer outcome(api::Outcome value, std::uint32_t retryAfterMs)
{
    api::SubmissionResponse response;
    response.set_outcome(value);
    response.set_reason("reason");
    response.set_retry_after_ms(retryAfterMs);
    if (value == api::OUTCOME_COMPLETED)
        response.add_outputs("result\x1b[2J");
    return response;
}

FakeEntry::FakeEntry(std::vector<Answer> answers, std::vector<ApplyAnswer> applyAnswers)
    : m_callerServer(listen(m_context, std::nullopt))
    , m_operatorServer(listen(m_context, OperatorSecret))
    , m_answers(std::move(answers))
    , m_applyAnswers(std::move(applyAnswers))
{
    addCallerMethods();
    addStateMethods();
    addOperatorMethods();
    m_thread = std::thread([this] { m_context.run(); });
}

FakeEntry::~FakeEntry()
{
    m_context.stop();
    m_thread.join();
}

void FakeEntry::note(const std::string &call)
{
    const std::lock_guard lock(m_mutex);
    m_calls.push_back(call);
}

FakeEntry::Answer FakeEntry::nextAnswer(const std::string &id)
{
    Answer answer = m_answers.front();
    if (m_answers.size() > 1)
        m_answers.erase(m_answers.begin());
    if (auto *response = std::get_if<api::SubmissionResponse>(&answer))
        response->set_id(id);
    return answer;
}

void FakeEntry::addCallerMethods()
{
    const std::string service = "bluebellquay.v1.Dispatcher/";
    m_callerServer->handle<api::ReserveIdsRequest, api::ReserveIdsResponse>(
        service + "ReserveIds", [this](const auto &request, const CallContext &, auto done) {
            note("ReserveIds");
            api::ReserveIdsResponse response;
            for (std::uint32_t i = 0; i < request.count(); ++i)
                response.add_ids(ReservedId);
            done(response);
        });
    const auto answer = [this](const std::string &id, const Done &done) {
        if (!m_holdUntilStatus) {
            done(nextAnswer(id));
            return;
        }
        m_held = done;
        m_heldId = id;
    };
    m_callerServer->handle<api::SubmitRequest, api::SubmissionResponse>(
        service + "Submit",
        [this, answer](const api::SubmitRequest &request, const CallContext &, const Done &done) {
            note("Submit");
            {
                const std::lock_guard lock(m_mutex);
                m_submits.push_back(request);
            }
            answer(request.id(), done);
        });
    m_callerServer->handle<api::AwaitRequest, api::SubmissionResponse>(
        service + "Await",
        [this, answer](const api::AwaitRequest &request, const CallContext &, const Done &done) {
            note("Await");
            answer(request.id(), done);
        });
}

void FakeEntry::addStateMethods()
{
    const std::string service = "bluebellquay.v1.Dispatcher/";
    m_callerServer->handle<api::CancelRequest, api::SubmissionResponse>(
        service + "Cancel",
        [this](const api::CancelRequest &request, const CallContext &, const Done &done) {
            note("Cancel");
            done(nextAnswer(request.id()));
        });
    m_callerServer->handle<api::StatusRequest, api::SubmissionResponse>(
        service + "Status",
        [this](const api::StatusRequest &request, const CallContext &, const Done &done) {
            note("Status");
            if (!m_held) {
                done(nextAnswer(request.id()));
                return;
            }
            api::SubmissionResponse response;
            response.set_outcome(api::OUTCOME_RUNNING);
            response.mutable_progress()->set_tasks(7);
            response.mutable_progress()->set_finished(3);
            done(response);
            std::exchange(m_held, nullptr)(nextAnswer(m_heldId));
        });
}

void FakeEntry::addOperatorMethods()
{
    const std::string service = "bluebellquay.v1.Operator/";
    m_operatorServer->handle<api::DrainRequest, api::DrainResponse>(
        service + "Drain", [](const auto &request, const CallContext &, auto done) {
            api::DrainResponse response;
            response.set_state(request.agent() + " leaving");
            done(response);
        });
    m_operatorServer->handle<api::CheckConfigRequest, api::CheckConfigResponse>(
        service + "CheckConfig", [](const auto &request, const CallContext &, auto done) {
            api::CheckConfigResponse response;
            if (request.document() == "bad") {
                api::Finding &finding = *response.add_findings();
                finding.set_line(4);
                finding.set_place("branch.x");
                finding.set_message("is wrong");
                finding.set_remedy("mend it");
            }
            done(response);
        });
    m_operatorServer->handle<api::ApplyConfigRequest, api::ApplyConfigResponse>(
        service + "ApplyConfig", [this](const auto &request, const CallContext &, auto done) {
            const std::lock_guard lock(m_mutex);
            m_applies.push_back(request);
            const std::size_t index = std::min(m_applies.size(), m_applyAnswers.size()) - 1;
            done(m_applyAnswers.at(index));
        });
    m_operatorServer->handle<api::ShowConfigRequest, api::ShowConfigResponse>(
        service + "ShowConfig", [](const auto &, const CallContext &, auto done) {
            api::ShowConfigResponse response;
            response.set_version(12);
            response.set_change_id("abc");
            response.set_document("[branch]");
            done(response);
        });
}

std::string FakeEntry::address() const
{
    return "127.0.0.1:" + std::to_string(m_callerServer->port());
}

std::string FakeEntry::operatorAddress() const
{
    return "127.0.0.1:" + std::to_string(m_operatorServer->port());
}

std::vector<std::string> FakeEntry::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

std::vector<api::SubmitRequest> FakeEntry::submits() const
{
    const std::lock_guard lock(m_mutex);
    return m_submits;
}

std::vector<api::ApplyConfigRequest> FakeEntry::applies() const
{
    const std::lock_guard lock(m_mutex);
    return m_applies;
}

} // namespace Bluebellquay::Testing
