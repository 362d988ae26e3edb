// Guards against data of other writers: an odd entry names nothing to use, and the reader follows
// the others on.
#include "platform/advertisement.h"
#include "platform/configdocument.h"
#include "platform/jobdocument.h"
#include "platform/workerdocument.h"

#include <catch2/catch.hpp>

#include <string>

using namespace Bluebellquay;
using namespace Bluebellquay::Platform;

namespace {

std::string announcement(const std::string &born, const std::string &sequence,
                         const std::string &address = "10.0.0.1:80")
{
    return R"({"service":"s","address":")" + address
        + R"(","state":"ready","freeCapacity":{"cpu":16000,"memMb":32768,"gpu":0},"born":)" + born
        + R"(,"sequence":)" + sequence + '}';
}

bool namesWorker(const std::string &body)
{
    std::string reason;
    return decodeAnnouncement("i-1", body, reason).has_value();
}

} // namespace

TEST_CASE("an announcement with a number that is too large does not make later ones count as late")
{
    CHECK(namesWorker(announcement("1700000000000", "4")));
    for (const char *number : {"9007199254740993", "18446744073709551615", "1e300", "1e999",
                               "123456789012345678901234567890", "10000000000000"}) {
        CHECK_FALSE(namesWorker(announcement(number, "4")));
        CHECK_FALSE(namesWorker(announcement("1700000000000", number)));
    }
    CHECK_FALSE(namesWorker(announcement("1700000000000", "-1")));
}

TEST_CASE("an address to which no connection can be made names no worker and no entry")
{
    CHECK(namesWorker(announcement("1", "4", "[fe80::1]:65535")));
    for (const std::string address :
         {"10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:4294967376", "0.0.0.0:80",
          "[::]:80", "224.0.0.1:80", "[ff02::1]:80", "255.255.255.255:80", "::1:80",
          "[10.0.0.1]:80", "10.0.0.1", "10.0.0.1:80:80", "worker:80", ""}) {
        CAPTURE(address);
        CHECK_FALSE(namesWorker(announcement("1", "4", address)));
        CHECK_FALSE(decodeAdvertisement("edge-1", R"({"peer_address":")" + address + "\"}"));
    }
}

TEST_CASE("a document that is nested very deeply is not read")
{
    const std::string deep =
        R"("extra":)" + std::string(1'000'000, '[') + std::string(1'000'000, ']') + '}';
    const auto with = [&](std::string document) {
        return document.replace(document.size() - 1, 1, ',' + deep);
    };
    CHECK_FALSE(namesWorker(with(announcement("1", "4"))));
    CHECK_FALSE(decodeAdvertisement("edge-1", with(R"({"peer_address":"10.0.0.1:80"})")));
    CHECK_FALSE(decodeConfig(with(R"({"version":1,"routes":[]})")));
    CHECK_FALSE(decodeRunListing(with(R"({"born":1,"running":[],"ended":[]})")));
    CHECK(std::holds_alternative<JobRejection>(
        decodeJob(JobKey(1), with(R"({"bestEffort":true,"steps":[{"count":1}]})"))));
    CHECK(namesWorker(
        announcement("1", "4").insert(1, R"("text":"\")" + std::string(100, '[') + "\",")));
}

TEST_CASE("an end with an odd number does not make a worker forget later ends")
{
    const auto listing = [](std::uint64_t lastEndSeen, const std::string &number) {
        const auto decoded = decodeRunListing(
            R"({"born":1,"running":[],"ended":[[59,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[)"
                + number + R"(,"5c0e7a21d94b36f8.0.1.8",1,"done",""]]})",
            lastEndSeen);
        REQUIRE(decoded);
        CHECK(decoded->ended.size() + decoded->unreadable == 2);
        return decoded->lastEnd;
    };
    for (const char *number : {"18446744073709551615", "9007199254740993", "5000000000", "1e300"})
        CHECK(listing(0, number) == 59);
    CHECK(listing(58, "2000000000") == 59);
    CHECK(listing(58, "60000") == 60'000);
    // The agent has just started beside a worker that has been at work for long.
    CHECK(listing(0, "50000000") == 50'000'000);
}
