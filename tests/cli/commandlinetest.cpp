// Guards against a command line that submits under a second id, repeats too little or too early,
// or reports another outcome than the system gave.
#include "cli/commandline.h"
#include "cli/fakeentry.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;
using Catch::Contains;
namespace api = bluebellquay::v1;

namespace {

constexpr const char *GoodJob = R"({
  "branch": "hinokuni",
  "kind": "search",
  "tasks": [{"payload": "AAAA"}]
})";

struct Run
{
    ExitCode code;
    std::string output;
    std::string errors;
};

Run run(const std::vector<std::string> &arguments, const std::string &input = GoodJob)
{
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream errors;
    const ExitCode code = CommandLine(in, out, errors).run(arguments);
    return {code, out.str(), errors.str()};
}

// A file that is removed at the end of the test.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &content)
    {
        std::string name = (std::filesystem::temp_directory_path() / "bluebellquayXXXXXX").string();
        const int descriptor = mkstemp(name.data());
        REQUIRE(descriptor >= 0);
        ::close(descriptor);
        m_path = name;
        std::ofstream(m_path) << content;
    }
    ~TemporaryFile() { std::filesystem::remove(m_path); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

std::string refusingAddress()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(context,
                                                  {boost::asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

FakeEntry::Answer error(ConnectCode code)
{
    return ConnectError{code, "message"};
}

FakeEntry::ApplyAnswer applied(std::uint64_t version)
{
    api::ApplyConfigResponse response;
    response.set_version(version);
    return response;
}

} // namespace

TEST_CASE("Each outcome has its exit code, for a submission and afterwards", "[cli]")
{
    const std::pair<FakeEntry::Answer, ExitCode> cases[] = {
        {outcome(api::OUTCOME_COMPLETED), ExitCode::Completed},
        {outcome(api::OUTCOME_FAILED), ExitCode::Failed},
        {outcome(api::OUTCOME_NOT_RUN, 500), ExitCode::NotRun},
        {outcome(api::OUTCOME_UNKNOWN), ExitCode::Unknown},
        {error(ConnectCode::InvalidArgument), ExitCode::Failed},
    };
    for (const auto &[answer, code] : cases) {
        FakeEntry entry({answer});
        CHECK(run({"submit", "--entry", entry.address()}).code == code);
        for (const char *command : {"await", "status", "cancel"})
            CHECK(run({command, "--entry", entry.address(), ReservedId}).code == code);
        CHECK(entry.calls()
              == std::vector<std::string>{"ReserveIds", "Submit", "Await", "Status", "Cancel"});
    }
    FakeEntry entry({outcome(api::OUTCOME_RUNNING)});
    CHECK(run({"status", "--entry", entry.address(), ReservedId}).code == ExitCode::Running);
    CHECK(run({"submit", "--entry", entry.address(), "--detach"}).code == ExitCode::Completed);
    CHECK(run({"await", "--entry", entry.address(), ReservedId, "--timeout", "0.3"}).code
          == ExitCode::Running);
}

TEST_CASE("Answers are printed as table or JSON, without control characters", "[cli]")
{
    FakeEntry entry({outcome(api::OUTCOME_COMPLETED)});
    const Run table = run({"submit", "--entry", entry.address(), "-"});
    CHECK_THAT(table.output, Contains("completed") && Contains("result.[2J"));
    CHECK_THAT(table.errors, Contains(ReservedId));
    const Run json = run({"submit", "--entry", entry.address(), "--output", "json"});
    CHECK_THAT(json.output, Contains(R"("outcome":"OUTCOME_COMPLETED")"));
    const Run ids = run({"reserve", "--count=2", "--entry", entry.address()});
    CHECK(ids.output == std::string(ReservedId) + "\n" + ReservedId + "\n");
}

TEST_CASE("Unknown is asked again after its retry time, under the same id", "[cli]")
{
    FakeEntry entry({outcome(api::OUTCOME_UNKNOWN, 30), outcome(api::OUTCOME_UNKNOWN, 40),
                     outcome(api::OUTCOME_COMPLETED)});
    const auto start = std::chrono::steady_clock::now();
    const Run result = run({"submit", "--entry", entry.address(), "--id", "my-id"});
    CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(70));
    CHECK(result.code == ExitCode::Completed);
    const auto submits = entry.submits();
    REQUIRE(submits.size() == 3);
    for (std::size_t i = 0; i < submits.size(); ++i) {
        CHECK(submits[i].id() == "my-id");
        CHECK(submits[i].attempt() == i + 1);
        CHECK(submits[i].job().SerializeAsString() == submits[0].job().SerializeAsString());
    }
    CHECK(entry.calls().front() == "Submit");
}

TEST_CASE("The next entry is tried with the same id", "[cli]")
{
    FakeEntry broken({error(ConnectCode::Unavailable)});
    FakeEntry good({outcome(api::OUTCOME_COMPLETED)});
    const Run result = run({"submit", "--entry", refusingAddress(), "--entry", broken.address(),
                            "--entry", good.address()});
    CHECK(result.code == ExitCode::Completed);
    REQUIRE(broken.submits().size() == 1);
    REQUIRE(good.submits().size() == 1);
    CHECK(broken.submits()[0].id() == ReservedId);
    CHECK(good.submits()[0].id() == ReservedId);
}

TEST_CASE("Unreachable is reported only if nothing was sent", "[cli]")
{
    CHECK(run({"submit", "--entry", refusingAddress()}).code == ExitCode::Unreachable);
    CHECK(run({"status", "--entry", refusingAddress(), "id"}).code == ExitCode::Unreachable);
    FakeEntry entry({error(ConnectCode::Unknown)});
    const Run unknown = run({"submit", "--entry", entry.address(), "--timeout", "0.3"});
    CHECK(unknown.code == ExitCode::Unknown);
    CHECK_THAT(unknown.errors, Contains(std::string("await ") + ReservedId));
}

TEST_CASE("Progress of a running job goes to standard error", "[cli]")
{
    FakeEntry entry({outcome(api::OUTCOME_COMPLETED)});
    entry.holdUntilStatus();
    const Run result = run({"submit", "--entry", entry.address()});
    CHECK(result.code == ExitCode::Completed);
    CHECK_THAT(result.errors, Contains("3 of 7 tasks finished"));
    CHECK_THAT(result.output, !Contains("3 of 7"));
}

TEST_CASE("Operator commands carry the secret and report findings", "[cli]")
{
    FakeEntry entry({}, {applied(13)});
    const TemporaryFile secret(std::string(OperatorSecret) + "\n");
    const TemporaryFile wrong("other");
    const TemporaryFile bad("bad");
    const std::vector<std::string> access{"--operator", entry.operatorAddress(), "--secret-file",
                                          secret.path()};
    const auto with = [&](std::vector<std::string> arguments) {
        arguments.insert(arguments.end(), access.begin(), access.end());
        return run(arguments);
    };
    CHECK_THAT(with({"drain", "agent-3"}).output, Contains("agent-3 leaving"));
    CHECK_THAT(with({"config", "show"}).output, Contains("12") && Contains("[branch]"));
    CHECK(with({"config", "check", "-"}).code == ExitCode::Completed);
    const Run findings = with({"config", "check", bad.path()});
    CHECK(findings.code == ExitCode::Failed);
    CHECK(findings.errors == bad.path() + ":4: branch.x: is wrong; mend it\n");
    const Run refused = run(
        {"config", "show", "--operator", entry.operatorAddress(), "--secret-file", wrong.path()});
    CHECK(refused.code == ExitCode::Failed);
    CHECK_THAT(refused.errors, Contains("unauthenticated"));
}

TEST_CASE("A change whose answer was lost is repeated with its change id", "[cli]")
{
    FakeEntry entry({},
                    {ConnectError{ConnectCode::Unavailable, ""},
                     ConnectError{ConnectCode::Unknown, ""}, applied(13)});
    FakeEntry conflicting({}, {ConnectError{ConnectCode::Aborted, "version 14 by change x"}});
    const TemporaryFile secret(OperatorSecret);
    const auto apply = [&](const FakeEntry &target) {
        return run({"config", "apply", "-", "--expected-version", "12", "--secret-file",
                    secret.path(), "--operator", target.operatorAddress()});
    };
    const Run result = apply(entry);
    CHECK(result.code == ExitCode::Completed);
    CHECK_THAT(result.output, Contains("13"));
    const auto applies = entry.applies();
    REQUIRE(applies.size() == 3);
    CHECK(applies[0].change_id().size() == 32);
    for (const auto &request : applies) {
        CHECK(request.change_id() == applies[0].change_id());
        CHECK(request.expected_version() == 12);
    }
    const Run conflict = apply(conflicting);
    CHECK(conflict.code == ExitCode::Failed);
    CHECK_THAT(conflict.errors, Contains("version 14 by change x"));
    CHECK(conflicting.applies().size() == 1);
    CHECK(conflicting.applies()[0].change_id() != applies[0].change_id());
}
