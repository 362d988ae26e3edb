// Cost of peer messages: codec alone, and a request with its reply over a link on loopback with
// both ends on one thread. The Dom cases encode and decode the same bytes with nlohmann::json's
// document model, without conversion to messages; they are the baseline for the project's own
// reader.
#include "kernel/log.h"
#include "net/messagecodec.h"
#include "net/peernode.h"

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <stdexcept>

using namespace Bluebellquay;

namespace {

constexpr std::size_t FrameLimit = 8UL << 20;
const SubmissionId Id(Incarnation(0x0123456789abcdefULL), IssuePeriod(7),
                      Nonce(0xfedcba9876543210ULL));

Submit sampleSubmit()
{
    Submit submit;
    submit.correlation = Correlation(123456);
    submit.id = Id;
    submit.job.branch = "hinokuni";
    submit.job.customer = "kumamoto-depot";
    submit.job.team = "day-shift";
    submit.job.kind = "fetch_sheet";
    submit.job.tasks = {TaskSpec{std::string(200, 'x'), Duration(80'000)}};
    submit.deadline = Duration(2'000'000);
    return submit;
}

Reply sampleReply()
{
    Reply reply;
    reply.correlation = Correlation(123456);
    reply.id = Id;
    reply.kind = ReplyKind::Final;
    reply.progress = {1, 1, 1};
    reply.answer.emplace();
    reply.answer->outcome = Outcome::Completed;
    reply.answer->outputs = {std::string(200, 'y')};
    return reply;
}

std::vector<Message> sampleBatch(std::int64_t count)
{
    std::vector<Message> messages;
    for (std::int64_t i = 0; i < count; ++i) {
        if (i % 2 == 0)
            messages.emplace_back(sampleSubmit());
        else
            messages.emplace_back(sampleReply());
    }
    return messages;
}

void encodeBatch(benchmark::State &state)
{
    const auto messages = sampleBatch(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(encodeFrame(1, messages));
    state.SetItemsProcessed(state.iterations() * state.range(0));
}

void decodeBatch(benchmark::State &state)
{
    const std::string frame = encodeFrame(1, sampleBatch(state.range(0)));
    for (auto _ : state) {
        auto decoded = decodeFrame(frame, FrameLimit);
        if (!decoded)
            throw std::runtime_error("frame rejected");
        benchmark::DoNotOptimize(decoded.value());
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}

void encodeDom(benchmark::State &state)
{
    const std::string frame = encodeFrame(1, sampleBatch(state.range(0)));
    const auto document = nlohmann::json::from_cbor(frame);
    for (auto _ : state)
        benchmark::DoNotOptimize(nlohmann::json::to_cbor(document));
    state.SetItemsProcessed(state.iterations() * state.range(0));
}

void decodeDom(benchmark::State &state)
{
    const std::string frame = encodeFrame(1, sampleBatch(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(nlohmann::json::from_cbor(frame));
    state.SetItemsProcessed(state.iterations() * state.range(0));
}

// A home that answers each Submit at once, and an entry that counts replies.
class LinkFixture
{
public:
    LinkFixture()
        : m_timers(m_context)
        , m_home(create(m_homeMetrics, 2,
                        [this](Incarnation from, const Message &message) {
                            if (std::holds_alternative<Submit>(message))
                                m_home->send(from, m_reply);
                        }))
        , m_entry(create(m_entryMetrics, 1, [this](Incarnation, const Message &message) {
            if (std::holds_alternative<Reply>(message) && --m_awaited == 0)
                m_context.stop();
        }))
    {
        m_entry->dial("127.0.0.1:" + std::to_string(m_home->port()));
        while (!m_entry->connected(Incarnation(2)) || !m_home->connected(Incarnation(1)))
            m_context.run_one();
    }

    void exchange(std::int64_t count)
    {
        m_awaited = count;
        for (std::int64_t i = 0; i < count; ++i)
            m_entry->send(Incarnation(2), m_submit);
        m_context.restart();
        m_context.run();
    }

private:
    std::unique_ptr<PeerNode> create(Metrics &metrics, std::uint64_t incarnation,
                                     std::function<void(Incarnation, Message)> received)
    {
        PeerNodeSettings settings;
        settings.endpoint = {boost::asio::ip::address_v4::loopback(), 0};
        settings.secret = "benchmark";
        ProcessInfo self;
        self.incarnation = Incarnation(incarnation);
        PeerHandlers handlers;
        handlers.received = std::move(received);
        auto node =
            PeerNode::create(m_context, m_timers, metrics, settings, self, std::move(handlers));
        if (!node)
            throw std::runtime_error("no peer node");
        return std::move(node.value());
    }

    boost::asio::io_context m_context{1};
    TimerService m_timers;
    Metrics m_homeMetrics;
    Metrics m_entryMetrics;
    const Message m_submit = sampleSubmit();
    const Message m_reply = sampleReply();
    std::int64_t m_awaited = 0;
    std::unique_ptr<PeerNode> m_home;
    std::unique_ptr<PeerNode> m_entry;
};

// Each benchmark item is one request, that is, two messages sent and received on the same thread.
void linkExchange(benchmark::State &state)
{
    LinkFixture fixture;
    for (auto _ : state)
        fixture.exchange(state.range(0));
    state.SetItemsProcessed(state.iterations() * state.range(0));
}

BENCHMARK(encodeBatch)->Arg(1)->Arg(32);
BENCHMARK(encodeDom)->Arg(1)->Arg(32);
BENCHMARK(decodeBatch)->Arg(1)->Arg(32);
BENCHMARK(decodeDom)->Arg(1)->Arg(32);
BENCHMARK(linkExchange)->Arg(1)->Arg(8)->Arg(64);

} // namespace

int main(int argc, char **argv)
{
    initializeLog("bench_peer", LogLevel::Error);
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
