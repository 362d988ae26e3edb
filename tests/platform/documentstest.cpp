// Guards the decoders of the platform's documents: examples are read, bad input is refused or left
// out, and no input of any kind breaks the process.
#include "platform/advertisement.h"
#include "platform/configdocument.h"
#include "platform/jobdocument.h"
#include "platform/workerdocument.h"

#include <catch2/catch.hpp>

#include <random>

using namespace Bluebellquay;
using namespace Bluebellquay::Platform;
using namespace std::chrono_literals;

namespace {

const std::string JobBody =
    R"({"bestEffort":true,"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900},)"
    R"({"count":20,"cpu":2000,"after":[0]}]})";
const std::string ConfigBody =
    R"({"version":7,"routes":[{"name":"r-1","host":"a.example","pathPrefix":"/x/","service":"s",)"
    R"("timeoutMs":1500,"objectiveMs":60,"priority":0,"maxAttempts":4,"slackFactor":1.6},)"
    R"({"name":"r-2","host":"a.example","pathPrefix":"/x/y/","service":"s"}],"services":[],"limits":{}})";
const std::string Announcement =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","capacity":8,"state":"ready",)"
    R"("freeCapacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"born":1700000000000,)"
    R"("sequence":4})";
const std::string Listing =
    R"({"clockMs":482113,"born":17,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41]],)"
    R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",1,"lapsed",""]]})";

// One random change of the text: bytes replaced, removed or doubled.
std::string mutate(std::string text, std::mt19937_64 &random)
{
    const auto position = [&] {
        return std::uniform_int_distribution<std::size_t>(0, text.size() - 1)(random);
    };
    const int changes = std::uniform_int_distribution<int>(1, 6)(random);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        switch (std::uniform_int_distribution<int>(0, 3)(random)) {
        case 0:
            text[position()] = static_cast<char>(random());
            break;
        case 1:
            text.erase(position(), 1 + random() % 8);
            break;
        case 2:
            text.insert(position(), text.substr(position(), 1 + random() % 16));
            break;
        default:
            text.resize(position());
        }
    }
    return text;
}

} // namespace

TEST_CASE("a job is decoded with its steps")
{
    const auto decoded = decodeJob(JobKey(1), JobBody);
    const auto *job = std::get_if<KeyedJobSpec>(&decoded);
    REQUIRE(job != nullptr);
    REQUIRE(job->steps.size() == 2);
    CHECK(job->payload == "text");
    CHECK(job->steps[0].tasks == 4);
    CHECK(job->steps[0].need.milliProcessors == 500);
    CHECK(job->steps[0].declaredRunTime == 900ms);
    CHECK(job->steps[1].after == std::vector<std::uint32_t>{0});
}

TEST_CASE("what a step asks of its workers is decoded")
{
    const auto decoded =
        decodeJob(JobKey(1),
                  R"({"bestEffort":true,"steps":[{"count":4,"requirements":"b","affinity":"r1-3",)"
                  R"("antiAffinity":2,"speculative":true},{"count":1}]})");
    const auto *job = std::get_if<KeyedJobSpec>(&decoded);
    REQUIRE(job != nullptr);
    CHECK(job->steps[0].requiredLabel == "b");
    CHECK(job->steps[0].dataRack == "r1-3");
    CHECK(job->steps[0].maxPerWorker == 2);
    CHECK_FALSE(job->steps[0].runsOnAnyWorker());
    CHECK(job->steps[1].runsOnAnyWorker());
}

TEST_CASE("jobs that are malformed or of a kind that is not built are told apart")
{
    const auto kindOf = [](std::string_view body) -> std::optional<JobRejection::Kind> {
        const auto decoded = decodeJob(JobKey(1), body);
        const auto *rejection = std::get_if<JobRejection>(&decoded);
        return rejection != nullptr ? std::optional(rejection->kind) : std::nullopt;
    };
    using enum JobRejection::Kind;
    CHECK(kindOf("") == Malformed);
    CHECK(kindOf("[]") == Malformed);
    CHECK(kindOf(R"({"bestEffort":true})") == Malformed);
    CHECK(kindOf(R"({"bestEffort":true,"steps":[]})") == Malformed);
    CHECK(kindOf(R"({"bestEffort":true,"steps":[{"count":-1}]})") == Malformed);
    CHECK(kindOf(R"({"bestEffort":true,"steps":[{"count":1,"cpu":"1"}]})") == Malformed);
    CHECK(kindOf(R"({"bestEffort":true,"steps":[{"count":1,"after":[0]}]})") == Malformed);
    CHECK(kindOf(R"({"bestEffort":true,"steps":[{"count":0}]})") == Malformed);
    CHECK(kindOf(R"({"bestEffort":true,"steps":[{"count":1,"affinity":3}]})") == Malformed);
    CHECK(kindOf(R"({"bestEffort":true,"steps":[{"count":1,"antiAffinity":"x"}]})") == Malformed);
    CHECK(kindOf(R"({"steps":[{"count":1}]})") == Unsupported);
    CHECK(kindOf(R"({"bestEffort":true,"longRunning":true,"steps":[{"count":1}]})") == Unsupported);
    CHECK(kindOf(R"({"bestEffort":true,"steps":[{"count":1,"gang":true}]})") == Unsupported);
    CHECK(kindOf(R"({"bestEffort":true,"steps":[{"count":1,"gang":false}]})") == std::nullopt);
    CHECK(kindOf(R"({"bestEffort":true,"new":1,"steps":[{"count":1}]})") == std::nullopt);
}

TEST_CASE("a key has sixteen lower-case hexadecimal digits and is written back unchanged")
{
    CHECK(parseJobKey("00000bb87a21d94b") == JobKey(0x00000bb87a21d94b));
    CHECK(jobKeyText(JobKey(0x00000bb87a21d94b)) == "00000bb87a21d94b");
    for (const char *text : {"", "0", "00000bb87a21d94", "00000bb87a21d94b0", "00000BB87A21D94B",
                             "00000bb87a21d94g", "-0000bb87a21d94b"})
        CHECK_FALSE(parseJobKey(text));
}

TEST_CASE("the longest prefix of the host selects the queue")
{
    const auto decoded = decodeConfig(ConfigBody);
    REQUIRE(decoded);
    CHECK(decoded->findings.empty());
    const QueueRules &rules = decoded->rules;
    CHECK(rules.version() == ConfigVersion(7));
    REQUIRE(rules.find("a.example", "/x/1") != nullptr);
    CHECK(rules.find("a.example", "/x/1")->name == "r-1");
    CHECK(rules.find("a.example", "/x/y/1")->name == "r-2");
    CHECK(rules.find("b.example", "/x/1") == nullptr);
    CHECK(rules.find("a.example", "/z/1") == nullptr);
    CHECK(rules.find("a.example", "/x/1")->maxAttempts == 4);
    CHECK(rules.find("a.example", "/x/1")->allowance == 60ms);
}

TEST_CASE("a queue that can't be served is known with the reason, its neighbours are served")
{
    const auto decoded = decodeConfig(
        R"({"version":1,"routes":[{"name":"r-1","host":"h","pathPrefix":"/x/","service":"s",)"
        R"("advice":{"decisionMs":20,"periodMs":1,"validityMs":900}},)"
        R"({"name":"r-2","host":"h","pathPrefix":"/y/","service":"s"}]})");
    REQUIRE(decoded);
    CHECK_FALSE(decoded->rules.find("h", "/x/1")->notServed.empty());
    CHECK(decoded->rules.find("h", "/y/1")->notServed.empty());
}

TEST_CASE("a bad route is left out with its place, the others hold")
{
    const auto decoded = decodeConfig(
        R"({"version":8,"routes":[{"name":5},{"name":"r","host":"h","pathPrefix":"/","service":"s"}]})");
    REQUIRE(decoded);
    REQUIRE(decoded->findings.size() == 1);
    CHECK(decoded->findings[0].starts_with("routes[0]"));
    CHECK(decoded->rules.size() == 1);
    CHECK_FALSE(decodeConfig(R"({"routes":[]})"));
    CHECK_FALSE(decodeConfig("{"));
}

TEST_CASE("numbers of a route are read in any notation, others leave the route out")
{
    const auto decode = [](const std::string &number) {
        return decodeConfig(
            R"({"version":8.0,"routes":[{"name":"r","host":"h","pathPrefix":"/","service":"s",)"
            R"("x":{"advice":[1]},"objectiveMs":)"
            + number + "}]}");
    };
    for (const char *number : {"60", "60.0", "6e1"})
        CHECK(decode(number)->rules.find("h", "/")->allowance == 60ms);
    CHECK(decode("18446744073709551615")->rules.find("h", "/")->allowance == 24h);
    for (const char *number : {"-1", "0.5", "1e300", "18446744073709551616", "\"60\"", "null"})
        CHECK(decode(number)->findings.size() == 1);
    CHECK_FALSE(decode(std::string(100'000, '[')));
    CHECK_FALSE(decode("1}]} x"));
    CHECK_FALSE(decode("\"\xff\""));
}

TEST_CASE("an announcement names a worker; one of another writer names none")
{
    std::string reason;
    const auto profile = decodeAnnouncement("i-1", Announcement, reason);
    REQUIRE(profile);
    CHECK(profile->identity == WorkerIdentity{"i-1", 1700000000000});
    CHECK(profile->room.milliProcessors == 16000);
    CHECK(profile->labels == std::vector<std::string>{"a", "r1-3"});
    CHECK_FALSE(profile->draining);
    CHECK(announcementNumber(Announcement) == 4);
    for (const std::string field : {"service", "address", "state", "born", "freeCapacity"}) {
        std::string renamed = Announcement;
        renamed.replace(renamed.find('"' + field + '"'), field.size() + 2, "\"other\"");
        CHECK_FALSE(decodeAnnouncement("i-1", renamed, reason));
    }
    std::string state = Announcement;
    state.replace(state.find("ready"), 5, "tired");
    CHECK_FALSE(decodeAnnouncement("i-1", state, reason));
}

TEST_CASE("a worker's run listing has runs and ends; rows that can't be read are counted")
{
    const auto listing = decodeRunListing(Listing);
    REQUIRE(listing);
    REQUIRE(listing->running.size() == 1);
    CHECK(listing->running[0] == RunKey{JobKey(0x5c0e7a21d94b36f8), 1, 17, RunNumber(2)});
    REQUIRE(listing->ended.size() == 2);
    CHECK(listing->ended[0].end == RunResult::Done);
    CHECK(listing->ended[1].end == RunResult::Lost);
    CHECK(listing->lastEnd == 59);
    CHECK(listing->unreadable == 0);
    const auto odd = decodeRunListing(
        R"({"born":1,"running":[["x",2],5],"ended":[[60,"5c0e7a21d94b36f8.0.1.8",1,"odd",""]]})");
    REQUIRE(odd);
    CHECK(odd->unreadable == 3);
    CHECK(odd->unreadableRunning == 2);
    CHECK(odd->lastEnd == 60);
}

TEST_CASE("a listing with as many ends as a worker lists at a time is not taken for whole")
{
    for (const std::size_t ends : {499U, 500U}) {
        std::string rows;
        for (std::size_t number = 1; number <= ends; ++number)
            rows += (number > 1 ? ",[" : "[") + std::to_string(number)
                + R"(,"5c0e7a21d94b36f8.0.1.8",1,"done",""])";
        const auto listing = decodeRunListing(R"({"born":1,"running":[],"ended":[)" + rows + "]}");
        REQUIRE(listing);
        CHECK(listing->moreEnds == (ends == 500));
    }
}

TEST_CASE("task names are read back as they were written")
{
    const RunKey run{JobKey(0x5c0e7a21d94b36f8), 3, 12, RunNumber(9)};
    CHECK(taskName(run) == "5c0e7a21d94b36f8.0.3.12");
    CHECK(parseTaskName(taskName(run), 9) == run);
    for (const char *name :
         {"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.3", "5c0e7a21d94b36f8.0.3.",
          "5c0e7a21d94b36f8.0.3.1.1", "5c0e7a21d94b36f8.0.-3.1", "x.0.3.1"})
        CHECK_FALSE(parseTaskName(name, 1));
}

TEST_CASE("an advertisement is read back; one without a usable address is not")
{
    ProcessInfo process;
    process.dataCentre = "oita";
    process.address = "10.0.0.1:7700";
    CHECK(decodeAdvertisement("edge-1", encodeAdvertisement(process, {"b", "r1-3"}, {}))
          == EntryAddress{"edge-1", "oita", "10.0.0.1:7700", {"b", "r1-3"}});
    const auto odd =
        decodeAdvertisement("edge-1", R"({"peer_address":"10.0.0.1:1","wanted_labels":[7,"b"]})");
    REQUIRE(odd);
    CHECK(odd->wantedLabels == std::set<std::string>{"b"});
    CHECK_FALSE(decodeAdvertisement("edge-1", R"({"peer_address":"nowhere"})"));
    CHECK_FALSE(decodeAdvertisement("edge-1", "\xff\xfe"));
}

TEST_CASE("confinements in an advertisement are read back until they are over")
{
    const auto now = std::chrono::system_clock::time_point(std::chrono::hours(500'000));
    const Confinement confinement{"archive", 3, 1, {{"lookups", 1}}, {{"side-1", 1}}, 4s};
    const std::string row = encodeAdvertisement({}, {}, {{confinement, now + 4s}});
    const std::vector<Confinement> read = decodeConfinements(row, now);
    REQUIRE(read.size() == 1);
    CHECK(read[0].service == "archive");
    CHECK(read[0].confined == 1);
    CHECK(read[0].queues == confinement.queues);
    CHECK(read[0].agents == confinement.agents);
    CHECK(read[0].left == 4s);
    CHECK(decodeConfinements(row, now + 5s).empty());
    CHECK(decodeConfinements(R"({"confined":[7,{"groups":9,"until_ms":1e300}]})", now).empty());
    CHECK(decodeConfinements(R"({"peer_address":"10.0.0.1:1"})", now).empty());
}

TEST_CASE("random bytes and changed documents are decoded or refused, whatever they are")
{
    std::mt19937_64 random(20'261'204);
    const std::string seeds[] = {JobBody, ConfigBody, Announcement, Listing};
    for (int i = 0; i < 20'000; ++i) {
        std::string text = mutate(seeds[random() % std::size(seeds)], random);
        if (i % 10 == 0) {
            text.resize(random() % 64);
            for (char &c : text)
                c = static_cast<char>(random());
        }
        std::string reason;
        decodeJob(JobKey(1), text);
        decodeConfig(text);
        decodeAnnouncement("i-1", text, reason);
        decodeRunListing(text);
        decodeReply(text);
        decodeAdvertisement("edge-1", text);
        parseTaskName(text, 1);
        parseJobKey(text);
    }
    SUCCEED();
}
