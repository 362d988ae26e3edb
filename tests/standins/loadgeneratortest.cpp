// Guards against a load generator that overlooks a wrong answer or counts a failure as success.
#include "standins/loadgenerator.h"
#include "standins/dispatcherstandin.h"
#include "standins/standinfixture.h"

#include <nlohmann/json.hpp>

#include <set>
#include <sstream>

using namespace Bluebellquay;
using namespace bluebellquay::v1;

namespace {

class LoadFixture : public StandinFixture
{
protected:
    using Json = nlohmann::json;

    LoadFixture()
    {
        for (int i = 1; i <= 2; ++i)
            m_entries.push_back(DispatcherStandin::create(m_context, anyPort(),
                                                          "000000000000000" + std::to_string(i))
                                    .value());
        for (const auto &entry : m_entries)
            m_options.entries.push_back(address(entry->port()));
        m_options.workload.kinds = {{"hinokuni", "search", 1}};
        m_options.workload.jobShare = 0.5;
        m_options.workload.maxJobTasks = 20;
        m_options.rate = 2000;
        m_options.count = 40;
        m_options.retryDelay = std::chrono::milliseconds(5);
        m_options.reserveBatch = 8;
    }

    // Runs the load and returns its records.
    std::vector<Json> run()
    {
        std::stringstream lines;
        LoadReport report(&lines);
        const auto generator =
            LoadGenerator::create(m_context, m_timers, m_options, report).value();
        bool finished = false;
        generator->start([&] { finished = true; });
        REQUIRE(runUntil([&] { return finished; }));
        m_summary = Json::parse(report.summary(Duration(1'000'000), Duration(0)));
        std::vector<Json> records;
        for (std::string line; std::getline(lines, line);)
            records.push_back(Json::parse(line));
        return records;
    }
    void setAnswers(const DispatcherStandin::Answer &answer)
    {
        for (const auto &entry : m_entries)
            entry->setAnswer(answer);
    }
    static SubmissionResponse answer(const SubmitRequest &request, Outcome outcome,
                                     std::uint32_t retryAfterMs)
    {
        SubmissionResponse response;
        response.set_id(request.id());
        response.set_outcome(outcome);
        response.set_reason("a_reason");
        // Text that must be escaped in the records.
        response.set_detail("a \"detail\"\n");
        response.set_retry_after_ms(retryAfterMs);
        return response;
    }

    std::vector<std::unique_ptr<DispatcherStandin>> m_entries;
    LoadOptions m_options;
    Json m_summary;
};

} // namespace

TEST_CASE_METHOD(LoadFixture, "Each submission is recorded once", "[standins]")
{
    const bool closedLoop = GENERATE(false, true);
    m_options.closedLoop = closedLoop;
    m_options.connections = 3;
    const auto records = run();
    REQUIRE(records.size() == 40);
    std::set<std::string> ids;
    for (const Json &record : records) {
        CHECK(record["outcome"] == "completed");
        CHECK(record["attempts"] == 1);
        CHECK_FALSE(record["crossed"]);
        CHECK_FALSE(record["partial"]);
        ids.insert(record["id"]);
    }
    CHECK(ids.size() == records.size());
    CHECK(m_summary["completed_per_s"] == 40.0);
    CHECK(m_summary["latency_ms"]["count"] == 40);
    CHECK(m_summary["crossed"] == 0);
}

TEST_CASE_METHOD(LoadFixture, "A submission is repeated with its id through the other entry",
                 "[standins]")
{
    std::map<std::string, std::string> firstBody;
    bool sameBody = true;
    // The first attempt is lost in one of two ways.
    const auto lose = [&](const SubmitRequest &request) -> DispatcherStandin::Result {
        const std::string body = request.job().SerializeAsString();
        if (firstBody.emplace(request.id(), body).second) {
            if (firstBody.size() % 2 == 0)
                return ConnectError{ConnectCode::Unavailable, "lost"};
            return answer(request, OUTCOME_UNKNOWN, 1);
        }
        sameBody = sameBody && firstBody.at(request.id()) == body && request.attempt() == 2;
        return DispatcherStandin::completed(request);
    };
    setAnswers(lose);
    const auto records = run();
    REQUIRE(records.size() == 40);
    for (const Json &record : records) {
        CHECK(record["outcome"] == "completed");
        CHECK(record["attempts"] == 2);
        // Submissions go to the entries in turn; the answer came from the other one.
        CHECK(record["entry"] == record["number"].get<int>() % 2);
    }
    CHECK(sameBody);
    CHECK(m_summary["call_errors"]["unavailable"] == 20);
}

TEST_CASE_METHOD(LoadFixture, "Final answers other than completed are not repeated", "[standins]")
{
    const auto [outcome, name] = GENERATE(table<Outcome, std::string>(
        {{OUTCOME_NOT_RUN, "not_run"}, {OUTCOME_FAILED, "failed"}, {OUTCOME_UNKNOWN, "unknown"}}));
    // An unknown outcome is final if there is no time to come back.
    const std::uint32_t retryAfterMs = outcome == OUTCOME_UNKNOWN ? 0 : 5;
    setAnswers([&, outcome = outcome](const SubmitRequest &request) {
        return answer(request, outcome, retryAfterMs);
    });
    for (const Json &record : run()) {
        CHECK(record["outcome"] == name);
        CHECK(record["reason"] == "a_reason");
        CHECK(record["detail"] == "a \"detail\"\n");
        CHECK(record["attempts"] == 1);
    }
    CHECK(m_summary["reasons"][name + ":a_reason"] == 40);
    CHECK(m_summary["completed_per_s"] == 0.0);
}

TEST_CASE_METHOD(LoadFixture, "Attempts are bounded", "[standins]")
{
    m_options.maxAttempts = 3;
    setAnswers([](const SubmitRequest &) { return ConnectError{ConnectCode::Internal, "fault"}; });
    for (const Json &record : run()) {
        CHECK(record["outcome"] == "unknown");
        CHECK(record["reason"] == "connect_internal");
        CHECK(record["attempts"] == 3);
    }
}

TEST_CASE_METHOD(LoadFixture, "Partial and crossed answers are noticed", "[standins]")
{
    std::string change;
    setAnswers([&](const SubmitRequest &request) {
        SubmissionResponse response = DispatcherStandin::completed(request);
        if (change == "partial")
            response.mutable_outputs()->RemoveLast();
        else if (change == "id")
            response.set_id("other");
        else if (change == "output")
            response.set_outputs(0, expectedOutput("other", 1, 0));
        return response;
    });
    change = "partial";
    run();
    CHECK(m_summary["partial"] == 40);
    CHECK(m_summary["crossed"] == 0);
    change = "id";
    run();
    CHECK(m_summary["crossed"] == 40);
    change = "output";
    run();
    CHECK(m_summary["crossed"] == 40);
    CHECK(m_summary["partial"] == 0);
}

TEST_CASE_METHOD(LoadFixture, "A run ends when no entry issues ids", "[standins]")
{
    m_entries.clear();
    m_options.linger = std::chrono::milliseconds(50);
    const auto records = run();
    CHECK_FALSE(records.empty());
    for (const Json &record : records)
        CHECK(record["outcome"] == "not_sent");
}
