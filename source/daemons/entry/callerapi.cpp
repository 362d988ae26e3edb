#include "daemons/entry/callerapi.h"

#include "daemons/entry/conversions.h"
#include "kernel/servicenames.h"

#include <utility>

namespace Bluebellquay {

namespace v1 = bluebellquay::v1;

namespace {

using SubmissionDone = std::function<void(ConnectResult<v1::SubmissionResponse>)>;

CallService::Done answerTo(SubmissionDone done)
{
    return [done = std::move(done)](CallResult result) { done(toResponse(std::move(result))); };
}

v1::ReserveIdsResponse toProto(const ReservedIds &reserved)
{
    v1::ReserveIdsResponse response;
    response.mutable_ids()->Reserve(static_cast<int>(reserved.ids.size()));
    for (const SubmissionId &id : reserved.ids)
        response.add_ids(id.toString());
    response.set_valid_for_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(reserved.validFor).count()));
    for (const Incarnation home : reserved.goneHomes)
        response.add_gone_homes(toString(home));
    return response;
}

} // namespace

boost::leaf::result<std::unique_ptr<CallerApi>> CallerApi::create(const ServiceRegistry &services)
{
    BOOST_LEAF_AUTO(server, services.find<ConnectServer>(ServiceNames::CallerServer));
    BOOST_LEAF_AUTO(calls, services.find<CallService>(ServiceNames::Calls));
    BOOST_LEAF_AUTO(timers, services.find<TimerService>(ServiceNames::Timers));
    return std::unique_ptr<CallerApi>(new CallerApi(server.get(), calls.get(), timers.get()));
}

CallerApi::CallerApi(ConnectServer &server, CallService &calls, TimerService &timers)
    : m_calls(calls)
    , m_timers(timers)
{
    addReserveIds(server);
    addSubmit(server);
    addIdCall<v1::AwaitRequest>(server, "bluebellquay.v1.Dispatcher/Await", &CallService::await);
    addIdCall<v1::CancelRequest>(server, "bluebellquay.v1.Dispatcher/Cancel", &CallService::cancel);
    addIdCall<v1::StatusRequest>(server, "bluebellquay.v1.Dispatcher/Status", &CallService::status);
}

void CallerApi::addSubmit(ConnectServer &server)
{
    server.handle<v1::SubmitRequest, v1::SubmissionResponse>(
        "bluebellquay.v1.Dispatcher/Submit",
        [this](const v1::SubmitRequest &request, const CallContext &context, SubmissionDone done) {
            const CallId call = m_calls.submit(request, context.timeout, answerTo(std::move(done)));
            if (context.callerLeft != nullptr)
                *context.callerLeft = [this, call] { m_calls.callerLeft(call); };
        });
}

template <typename Request>
void CallerApi::addIdCall(ConnectServer &server, std::string method,
                          CallId (CallService::*call)(std::string_view, CallService::Timeout,
                                                      CallService::Done))
{
    server.handle<Request, v1::SubmissionResponse>(
        std::move(method),
        [this, call](const Request &request, const CallContext &context, SubmissionDone done) {
            const CallId started =
                (m_calls.*call)(request.id(), context.timeout, answerTo(std::move(done)));
            if (context.callerLeft != nullptr)
                *context.callerLeft = [this, started] { m_calls.callerLeft(started); };
        });
}

void CallerApi::addReserveIds(ConnectServer &server)
{
    server.handle<v1::ReserveIdsRequest, v1::ReserveIdsResponse>(
        "bluebellquay.v1.Dispatcher/ReserveIds",
        [this](const v1::ReserveIdsRequest &request, const CallContext &,
               const std::function<void(ConnectResult<v1::ReserveIdsResponse>)> &done) {
            const TimePoint start = m_timers.now();
            EntryMetrics &metrics = m_calls.metrics();
            boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<void> {
                    BOOST_LEAF_AUTO(reserved, m_calls.reserveIds(request.count()));
                    metrics.countOk(EntryMethod::ReserveIds);
                    done(toProto(reserved));
                    return {};
                },
                [&](const CallError &error) {
                    metrics.countError(EntryMethod::ReserveIds, error.kind);
                    done(toConnectError(error));
                },
                [&] {
                    done(ConnectError{ConnectCode::Internal, "no ids can be issued"});
                });
            metrics.recordTime(EntryMethod::ReserveIds, m_timers.now() - start);
        });
}

} // namespace Bluebellquay
