#include "standins/dispatcherstandin.h"

#include "base/submissionid.h"
#include "standins/taskprogram.h"

namespace Bluebellquay {

using namespace bluebellquay::v1;

boost::leaf::result<std::unique_ptr<DispatcherStandin>>
DispatcherStandin::create(boost::asio::io_context &context,
                          const boost::asio::ip::tcp::endpoint &endpoint, const std::string &home)
{
    ConnectServerSettings settings;
    settings.endpoint = endpoint;
    BOOST_LEAF_AUTO(server, ConnectServer::create(context, std::move(settings)));
    return std::unique_ptr<DispatcherStandin>(new DispatcherStandin(std::move(server), home));
}

DispatcherStandin::DispatcherStandin(std::unique_ptr<ConnectServer> server, std::string home)
    : m_home(std::move(home))
    , m_answer([](const SubmitRequest &request) { return completed(request); })
    , m_server(std::move(server))
{
    m_server->handle<ReserveIdsRequest, ReserveIdsResponse>(
        "bluebellquay.v1.Dispatcher/ReserveIds",
        [this](const ReserveIdsRequest &request, const CallContext &, const auto &done) {
            done(reserve(request.count()));
        });
    m_server->handle<SubmitRequest, SubmissionResponse>(
        "bluebellquay.v1.Dispatcher/Submit",
        [this](const SubmitRequest &request, const CallContext &, const auto &done) {
            done(m_answer(request));
        });
}

ReserveIdsResponse DispatcherStandin::reserve(std::uint32_t count)
{
    const auto home = parseIncarnation(m_home).value_or(Incarnation(1));
    ReserveIdsResponse response;
    response.set_valid_for_ms(60'000);
    for (std::uint32_t i = 0; i < count; ++i)
        response.add_ids(SubmissionId(home, IssuePeriod(1), Nonce(++m_lastNonce)).toString());
    return response;
}

SubmissionResponse DispatcherStandin::completed(const SubmitRequest &request)
{
    SubmissionResponse response;
    response.set_id(request.id());
    response.set_outcome(OUTCOME_COMPLETED);
    for (int i = 0; i < request.job().tasks_size(); ++i) {
        const auto program = TaskProgram::parse(request.job().tasks(i).payload());
        response.add_outputs(
            program.value_or(TaskProgram()).output(request.id() + "/" + std::to_string(i)));
    }
    return response;
}

} // namespace Bluebellquay
