// An entry for tests of the command line. It records the calls and returns the given answers.
#pragma once

#include "bluebellquay/v1/dispatcher.pb.h"
#include "net/connectserver.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Bluebellquay::Testing {

constexpr const char *ReservedId = "0000000000000001-00000002-0000000000000003";
constexpr const char *OperatorSecret = "operator-secret";

class FakeEntry
{
public:
    using Answer = ConnectResult<bluebellquay::v1::SubmissionResponse>;
    using ApplyAnswer = ConnectResult<bluebellquay::v1::ApplyConfigResponse>;

    // Answers of Submit and Await, in order. The last one is repeated.
    explicit FakeEntry(std::vector<Answer> answers = {},
                       std::vector<ApplyAnswer> applyAnswers = {});
    ~FakeEntry();

    std::string address() const;
    std::string operatorAddress() const;
    // Makes Submit and Await wait until Status is called; Status reports progress.
    void holdUntilStatus() { m_holdUntilStatus = true; }

    // Names of the methods called so far, for example "Submit".
    std::vector<std::string> calls() const;
    std::vector<bluebellquay::v1::SubmitRequest> submits() const;
    std::vector<bluebellquay::v1::ApplyConfigRequest> applies() const;

private:
    using Done = std::function<void(Answer)>;

    void addCallerMethods();
    void addStateMethods();
    void addOperatorMethods();
    void note(const std::string &call);
    Answer nextAnswer(const std::string &id);

    boost::asio::io_context m_context;
    std::unique_ptr<ConnectServer> m_callerServer;
    std::unique_ptr<ConnectServer> m_operatorServer;
    std::vector<Answer> m_answers;
    std::vector<ApplyAnswer> m_applyAnswers;
    bool m_holdUntilStatus = false;
    Done m_held;
    std::string m_heldId;
    // Guards the three lists below, which the test and m_thread use.
    mutable std::mutex m_mutex;
    std::vector<std::string> m_calls;
    std::vector<bluebellquay::v1::SubmitRequest> m_submits;
    std::vector<bluebellquay::v1::ApplyConfigRequest> m_applies;
    std::thread m_thread;
};

FakeEntry::Answer outcome(bluebellquay::v1::Outcome value, std::uint32_t retryAfterMs = 0);

} // namespace Bluebellquay::Testing
