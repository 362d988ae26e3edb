// Dispatcher service in memory for the interoperability test: a task takes its declared time and
// its output is its payload.
//
// Usage: interop_server              serves on a free port, which it prints; ends with its input
//        interop_server --descriptors  prints the descriptor set of the schema
#include "base/submissionid.h"
#include "bluebellquay/v1/dispatcher.pb.h"
#include "bluebellquay/v1/hinokuni.pb.h"
#include "bluebellquay/v1/maras.pb.h"
#include "bluebellquay/v1/upstream.pb.h"
#include "net/connectserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <google/protobuf/any.pb.h>
#include <google/protobuf/descriptor.pb.h>

#include <unistd.h>

#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace Bluebellquay;
namespace api = bluebellquay::v1;

namespace {

using Done = std::function<void(ConnectResult<api::SubmissionResponse>)>;

constexpr std::uint32_t ValidForMs = 60'000;

class TestDispatcher
{
public:
    TestDispatcher(boost::asio::io_context &context, ConnectServer &server)
        : m_context(context)
    {
        server.handle<api::ReserveIdsRequest, api::ReserveIdsResponse>(
            "bluebellquay.v1.Dispatcher/ReserveIds",
            [this](const auto &request, const CallContext &, auto done) {
                api::ReserveIdsResponse response;
                response.set_valid_for_ms(ValidForMs);
                for (std::uint32_t i = 0; i < request.count(); ++i) {
                    const SubmissionId id(Incarnation(1), IssuePeriod(1), Nonce(++m_lastNonce));
                    response.add_ids(id.toString());
                }
                done(std::move(response));
            });
        server.handle<api::SubmitRequest, api::SubmissionResponse>(
            "bluebellquay.v1.Dispatcher/Submit",
            [this](const auto &request, const CallContext &, const Done &done) {
                submit(request, done);
            });
        server.handle<api::AwaitRequest, api::SubmissionResponse>(
            "bluebellquay.v1.Dispatcher/Await",
            [this](const auto &request, const CallContext &, const Done &done) {
                wait(request.id(), done);
            });
        server.handle<api::StatusRequest, api::SubmissionResponse>(
            "bluebellquay.v1.Dispatcher/Status",
            [this](const auto &request, const CallContext &, const Done &done) {
                const auto position = m_records.find(request.id());
                if (position == m_records.end())
                    done(ConnectError{ConnectCode::NotFound, "no such submission"});
                else
                    done(position->second.answer);
            });
    }

private:
    struct Record
    {
        std::string body;
        api::SubmissionResponse answer;
        std::vector<Done> waiting;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void submit(const api::SubmitRequest &request, const Done &done)
    {
        if (!SubmissionId::parse(request.id())) {
            done(ConnectError{ConnectCode::InvalidArgument, "id: not a submission id"});
            return;
        }
        const std::string body = request.job().SerializeAsString();
        const auto [position, inserted] = m_records.try_emplace(request.id());
        Record &record = position->second;
        if (inserted)
            run(record, request, body);
        else if (record.body != body) {
            done(ConnectError{ConnectCode::AlreadyExists, "the id was used with another body"});
            return;
        }
        wait(request.id(), done);
    }

    void run(Record &record, const api::SubmitRequest &request, const std::string &body)
    {
        record.body = body;
        record.answer.set_id(request.id());
        record.answer.set_outcome(api::OUTCOME_RUNNING);
        std::chrono::milliseconds time(0);
        for (const auto &task : request.job().tasks())
            time += std::chrono::milliseconds(task.declared_run_ms());
        record.timer = std::make_unique<boost::asio::steady_timer>(m_context, time);
        record.timer->async_wait([&record, job = request.job()](const auto &) {
            record.answer.set_outcome(api::OUTCOME_COMPLETED);
            for (const auto &task : job.tasks())
                record.answer.add_outputs(task.payload());
            for (const Done &done : std::exchange(record.waiting, {}))
                done(record.answer);
        });
    }

    void wait(const std::string &id, const Done &done)
    {
        const auto position = m_records.find(id);
        if (position == m_records.end())
            done(ConnectError{ConnectCode::NotFound, "no such submission"});
        else if (position->second.answer.outcome() == api::OUTCOME_RUNNING)
            position->second.waiting.push_back(done);
        else
            done(position->second.answer);
    }

    boost::asio::io_context &m_context;
    std::map<std::string, Record> m_records;
    std::uint64_t m_lastNonce = 0;
};

int printDescriptors()
{
    google::protobuf::FileDescriptorSet files;
    for (const auto *message :
         {google::protobuf::Any::descriptor(), api::Job::descriptor(),
          api::AnnounceRequest::descriptor(), hinokuni::v1::Exceptions::descriptor(),
          maras::v1::Exceptions::descriptor()}) {
        message->file()->CopyTo(files.add_file());
        message->file()->CopyJsonNameTo(&*files.mutable_file()->rbegin());
    }
    return files.SerializeToOstream(&std::cout) ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "--descriptors")
        return printDescriptors();
    boost::asio::io_context context;
    ConnectServerSettings settings;
    settings.endpoint = {boost::asio::ip::address_v4::loopback(), 0};
    const auto server = ConnectServer::create(context, settings).value();
    const TestDispatcher dispatcher(context, *server);
    std::cout << server->port() << std::endl;
    // The test ends the server by closing its standard input.
    boost::asio::posix::stream_descriptor input(context, dup(STDIN_FILENO));
    std::string ignored;
    boost::asio::async_read(input, boost::asio::dynamic_buffer(ignored),
                            [&](const auto &, std::size_t) { context.stop(); });
    context.run();
    return 0;
}
