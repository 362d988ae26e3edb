// Guards against clients outside the limits that end a process of the system: the programs run as
// processes on loopback with low limits, and a crowd sends what made an entry run out of memory.
// Each case checks that the process lives, that its memory and its open descriptors stay under the
// bounds, and that an ordinary request is answered while the crowd is still connected.
//
// BLUEBELLQUAY_CROWD_NO_LIMITS leaves the limits out of the settings, for programs that do not know
// them yet.
#include "crowd/crowd.h"
#include "config/temporaryfile.h"
#include "net/testloop.h"
#include "soak/soakcallers.h"
#include "soak/soaksite.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::uint64_t Seed = 11;
constexpr std::size_t MemoryLimitMb = 48;
constexpr std::size_t DescriptorLimit = 256;
constexpr std::size_t Endless = 4;
constexpr std::size_t EndlessBytes = 16UL << 20;
constexpr std::size_t Clients = 220;
constexpr std::size_t BodyBytes = 250'000;
constexpr std::size_t IdleClients = 400;
constexpr std::size_t JobsOfManyTasks = 40;

std::string limits()
{
    if (std::getenv("BLUEBELLQUAY_CROWD_NO_LIMITS") != nullptr)
        return {};
    return "memory_limit_mb = " + std::to_string(MemoryLimitMb)
        + "\ndescriptor_limit = " + std::to_string(DescriptorLimit) + "\n";
}

class CrowdFixture
{
public:
    CrowdFixture()
        : site(folder.path(), Seed, 1, 1, limits())
        , callers(site, Seed)
    {
        REQUIRE(callers.waitUntilServing().empty());
    }

    Tcp::endpoint front() { return SoakSite::loopback(entry().otherPort); }
    Tcp::endpoint announcements() { return SoakSite::loopback(agent().otherPort); }
    Tcp::endpoint peers() { return SoakSite::loopback(entry().peerPort); }
    SoakProcess &entry() { return *site.entries().front(); }
    SoakProcess &agent() { return *site.agents().front(); }

    // Plays the crowd against the listener of the process, and checks the process meanwhile.
    void play(SoakProcess &process, const Tcp::endpoint &listener, std::size_t clients,
              const CrowdScript &script)
    {
        const Crowd crowd(site.context(), listener, clients, script);
        std::size_t descriptors = 0;
        CHECK(runUntil(site.context(), [&] {
            descriptors = std::max(descriptors, openDescriptors(process));
            return crowd.done();
        }));
        site.pass(100ms);
        descriptors = std::max(descriptors, openDescriptors(process));
        INFO("sent " << crowd.sent() << " bytes; peak memory " << peakMemoryKb(process)
                     << " kB, descriptors " << descriptors);
        REQUIRE(process.child->running());
        CHECK(peakMemoryKb(process) <= MemoryLimitMb * 1024);
        CHECK(descriptors <= DescriptorLimit);
        CHECK(callers.waitUntilServing().empty());
        CHECK(process.child->running());
    }

private:
    static std::size_t peakMemoryKb(SoakProcess &process)
    {
        std::ifstream file("/proc/" + std::to_string(process.child->pid()) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.rfind("VmHWM:", 0) != 0)
                continue;
            std::istringstream words(line.substr(line.find(':') + 1));
            std::size_t kilobytes = 0;
            words >> kilobytes;
            return kilobytes;
        }
        return 0;
    }
    static std::size_t openDescriptors(SoakProcess &process)
    {
        std::error_code error;
        const std::filesystem::directory_iterator files(
            "/proc/" + std::to_string(process.child->pid()) + "/fd", error);
        return static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }

public:
    TemporaryFolder folder;
    SoakSite site;
    SoakCallers callers;
};

std::string post(const std::string &framing)
{
    return "POST /x/00000000000000ab HTTP/1.1\r\nHost: a.example\r\n" + framing + "\r\n\r\n";
}

CrowdScript endlessTrailers()
{
    std::string lines;
    for (int i = 0; i < 64; ++i)
        lines += "X-Trailer-" + std::to_string(i) + ": " + std::string(1'000, 'x') + "\r\n";
    return {post("Transfer-Encoding: chunked") + "2\r\n{}\r\n0\r\n", lines, EndlessBytes};
}

CrowdScript endlessChunkExtension()
{
    return {post("Transfer-Encoding: chunked") + "2;", std::string(64'000, 'x'), EndlessBytes};
}

CrowdScript bodyWithoutEnd()
{
    return {post("Content-Length: " + std::to_string(BodyBytes + 10)), std::string(BodyBytes, ' '),
            BodyBytes};
}

CrowdScript chunkedBodyWithoutEnd()
{
    constexpr std::size_t ChunkBytes = 5'000;
    // 1388 is 5,000 in hexadecimal.
    return {post("Transfer-Encoding: chunked"), "1388\r\n" + std::string(ChunkBytes, ' ') + "\r\n",
            BodyBytes};
}

// A whole job of a legal size, with the most tasks that a job may have; none fits on a worker.
CrowdScript jobOfManyTasks()
{
    const std::string body =
        R"({"bestEffort":true,"spec":"1 1 ok","steps":[{"count":20000,"cpu":4000000000}]})";
    return {
        post("X-Bluebellquay-Deadline-Ms: 60000\r\nContent-Length: " + std::to_string(body.size()))
            + body,
        {},
        0};
}

} // namespace

TEST_CASE_METHOD(CrowdFixture, "an entry bears trailers without end")
{
    play(entry(), front(), Endless, endlessTrailers());
}

TEST_CASE_METHOD(CrowdFixture, "an entry bears a chunk extension without end")
{
    play(entry(), front(), Endless, endlessChunkExtension());
}

TEST_CASE_METHOD(CrowdFixture, "an entry bears many bodies that stop short of their end")
{
    play(entry(), front(), Clients, bodyWithoutEnd());
}

TEST_CASE_METHOD(CrowdFixture, "an entry bears many bodies that come piece by piece")
{
    play(entry(), front(), Clients, chunkedBodyWithoutEnd());
}

TEST_CASE_METHOD(CrowdFixture, "an entry bears many jobs of many tasks")
{
    play(entry(), front(), JobsOfManyTasks, jobOfManyTasks());
}

TEST_CASE_METHOD(CrowdFixture, "an entry bears more connections than it has descriptors for")
{
    play(entry(), front(), IdleClients, {});
}

TEST_CASE_METHOD(CrowdFixture, "an entry bears unfinished handshakes on its listener for peers")
{
    play(entry(), peers(), IdleClients, {"GET / HTTP/1.1\r\nHost: a\r\n", {}, 0});
}

TEST_CASE_METHOD(CrowdFixture, "an agent bears trailers without end")
{
    play(agent(), announcements(), Endless, endlessTrailers());
}

TEST_CASE_METHOD(CrowdFixture, "an agent bears many bodies that stop short of their end")
{
    play(agent(), announcements(), Clients, bodyWithoutEnd());
}
