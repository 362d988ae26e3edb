// Guards against calls between our own server and client that don't come back as they were sent.
#include "bluebellquay/v1/dispatcher.pb.h"
#include "net/connectclient.h"
#include "net/connectserver.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>

using namespace Bluebellquay;
using namespace std::chrono_literals;
using bluebellquay::v1::StatusRequest;
using bluebellquay::v1::SubmissionResponse;

TEST_CASE("A call goes round", "[net]")
{
    boost::asio::io_context context;
    ConnectServerSettings settings;
    settings.endpoint = {boost::asio::ip::address_v4::loopback(), 0};
    const auto server = ConnectServer::create(context, settings).value();
    server->handle<StatusRequest, SubmissionResponse>(
        "bluebellquay.v1.Dispatcher/Status",
        [](const StatusRequest &request, const CallContext &, auto done) {
            SubmissionResponse response;
            response.set_id(request.id());
            done(response);
        });
    ConnectClientSettings clientSettings;
    clientSettings.address = "127.0.0.1:" + std::to_string(server->port());
    const auto client = ConnectClient::create(context, clientSettings).value();
    std::optional<ConnectResult<SubmissionResponse>> result;
    StatusRequest request;
    request.set_id("one");
    client->call<SubmissionResponse>("bluebellquay.v1.Dispatcher/Status", request, Duration(5s),
                                     [&](const ConnectResult<SubmissionResponse> &answer) {
                                         result = answer;
                                         context.stop();
                                     });
    context.run_for(10s);
    REQUIRE(result);
    REQUIRE(std::holds_alternative<SubmissionResponse>(*result));
    CHECK(std::get<SubmissionResponse>(*result).id() == "one");
}
