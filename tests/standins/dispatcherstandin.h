// Stand-in of an entry for tests of the load generator itself: answers each call at once.
#pragma once

#include "bluebellquay/v1/dispatcher.pb.h"
#include "net/connectserver.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Bluebellquay {

class DispatcherStandin
{
public:
    using Result = ConnectResult<bluebellquay::v1::SubmissionResponse>;
    using Answer = std::function<Result(const bluebellquay::v1::SubmitRequest &)>;

    // Errors: ListenError. Home is the first part of the ids that are issued.
    static boost::leaf::result<std::unique_ptr<DispatcherStandin>>
    create(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint,
           const std::string &home);

    // What the upstream stand-ins would make of the submission.
    static bluebellquay::v1::SubmissionResponse
    completed(const bluebellquay::v1::SubmitRequest &request);

    // completed() if not set.
    void setAnswer(Answer answer) { m_answer = std::move(answer); }
    unsigned short port() const { return m_server->port(); }

private:
    DispatcherStandin(std::unique_ptr<ConnectServer> server, std::string home);
    bluebellquay::v1::ReserveIdsResponse reserve(std::uint32_t count);

    std::string m_home;
    Answer m_answer;
    std::uint64_t m_lastNonce = 0;
    std::unique_ptr<ConnectServer> m_server;
};

} // namespace Bluebellquay
