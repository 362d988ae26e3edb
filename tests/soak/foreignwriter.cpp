#include "soak/foreignwriter.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace Bluebellquay::Testing {

namespace {

constexpr const char *InstancePath = "/v1/instances/";
// Nothing listens there.
constexpr const char *DeadAddress = "127.0.0.1:9";
constexpr std::uint64_t LargestBirthStepMs = 100'000;

} // namespace

ForeignWriter::ForeignWriter(boost::asio::io_context &context, TimerService &timers,
                             boost::asio::ip::tcp::endpoint agent, std::uint64_t seed,
                             std::function<void(const std::string &)> note)
    : m_agent(context, timers, std::move(agent))
    , m_random(seed)
    , m_note(std::move(note))
{ }

std::uint64_t ForeignWriter::pick(std::uint64_t low, std::uint64_t high)
{
    return std::uniform_int_distribution<std::uint64_t>(low, high)(m_random);
}

void ForeignWriter::announce(const PlatformWorker &worker)
{
    const std::string name = pick(0, 1) == 0 ? worker.name() : "i-other";
    std::string body = wholeAnnouncement(worker);
    if (pick(0, 1) == 0)
        body = damaged(body);
    send("PUT", InstancePath + name, std::move(body));
}

void ForeignWriter::sayGone(const PlatformWorker &worker)
{
    send("DELETE", InstancePath + worker.name(), {});
}

void ForeignWriter::repeatEarlierLife(const PlatformWorker &worker)
{
    const auto &[target, body] = worker.earlierAnnouncement();
    if (!target.empty())
        send("PUT", target, body);
}

std::string ForeignWriter::wholeAnnouncement(const PlatformWorker &worker)
{
    return nlohmann::json{
        {"service", "another"},
        {"address", pick(0, 1) == 0 ? worker.address() : DeadAddress},
        {"zone", "elsewhere"},
        {"version", "v9"},
        {"capacity", pick(1, 100)},
        {"state", pick(0, 3) == 0 ? "draining" : "ready"},
        {"coldRemainingMs", 0},
        {"freeCapacity", {{"cpu", pick(1, 128'000)}, {"memMb", pick(1, 256'000)}, {"gpu", 0}}},
        {"labels", {"b", "r9-9"}},
        {"clockMs", pick(1, 1'000'000)},
        {"born", birth(worker)},
        {"sequence", pick(1, 1'000'000)}}
        .dump();
}

std::uint64_t ForeignWriter::birth(const PlatformWorker &worker)
{
    const std::uint64_t step = pick(1, LargestBirthStepMs);
    switch (pick(0, 2)) {
    case 0:
        return worker.bornMs();
    case 1:
        return worker.bornMs() - step;
    default:
        return worker.bornMs() + step;
    }
}

std::string ForeignWriter::damaged(const std::string &announcement)
{
    constexpr std::array<const char *, 6> Needed = {"service", "address",  "state",
                                                    "born",    "sequence", "freeCapacity"};
    nlohmann::json document = nlohmann::json::parse(announcement);
    const char *field = Needed[static_cast<std::size_t>(pick(0, Needed.size() - 1))];
    switch (pick(0, 3)) {
    case 0:
        document.erase(field);
        break;
    case 1:
        document[field] = nlohmann::json::array({true, nullptr});
        break;
    case 2:
        document["state"] = "dormant";
        break;
    default:
        return announcement.substr(0, pick(0, announcement.size() - 1)) + "\xff\xfe{";
    }
    return document.dump();
}

void ForeignWriter::send(const std::string &method, std::string target, std::string body)
{
    m_note("foreign " + method + ' ' + target + ' ' + body);
    m_agent.call({method, std::move(target), std::move(body), {}, std::chrono::seconds(1)},
                 [](const HttpReply &) {});
}

} // namespace Bluebellquay::Testing
