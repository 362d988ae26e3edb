// Processor time of each stage that a large configuration passes through; run by hand:
// test_platform "[.benchmark]".
#include "net/messagecodec.h"
#include "platform/configdocument.h"
#include "platform/largeconfig.h"
#include "platform/storeclient.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <ctime>
#include <iostream>
#include <thread>

using namespace Bluebellquay;
using namespace Bluebellquay::Platform;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr int Queues = 2'845;
constexpr int Repeats = 21;

double threadMilliseconds()
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

// Prints the median of the calls.
template <typename Call>
void measure(const char *stage, Call call)
{
    std::vector<double> times;
    for (int i = 0; i < Repeats; ++i) {
        const double begin = threadMilliseconds();
        call();
        times.push_back(threadMilliseconds() - begin);
    }
    std::nth_element(times.begin(), times.begin() + Repeats / 2, times.end());
    std::cout << stage << ": " << times[Repeats / 2] << " ms\n";
}

std::string storeAnswer(const std::string &document)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(document.size()), '\0');
    text.resize(base64::encode(text.data(), document.data(), document.size()));
    return R"({"rows":[{"table":"op","part":"","key":"config","ver":9,"value":")" + text
        + R"("}],"ver":9,"hasMore":false,"nowMs":1})";
}

// Answers every request with the same bytes, on a thread of its own.
class FixedAnswer
{
public:
    explicit FixedAnswer(const std::string &body)
        : m_answer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                   + body)
        , m_thread([this] { serve(); })
    { }
    ~FixedAnswer() { m_thread.join(); }
    Tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

private:
    // Until the client closes its connection.
    void serve()
    {
        Tcp::socket socket = m_acceptor.accept();
        std::string request(4'096, '\0');
        boost::system::error_code error;
        while (socket.read_some(boost::asio::buffer(request), error) > 0)
            boost::asio::write(socket, boost::asio::buffer(m_answer), error);
    }

    std::string m_answer;
    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor{m_context, {boost::asio::ip::address_v4::loopback(), 0}};
    std::thread m_thread;
};

} // namespace

TEST_CASE("processor time of the stages of a large configuration", "[.benchmark]")
{
    const std::string document = largeConfig(9, Queues);
    const std::string answer = storeAnswer(document);
    std::cout << "document: " << document.size() << " bytes, store's answer: " << answer.size()
              << " bytes\n";
    const FixedAnswer server(answer);
    boost::asio::io_context context;
    TimerService timers(context);
    {
        HttpClient client(context, timers, server.endpoint());
        measure("HTTP body", [&] {
            std::size_t size = 0;
            client.call({"GET", "/", {}, {}, 2s},
                        [&](const HttpReply &reply) { size = reply.body.size(); });
            while (size == 0)
                context.run_one();
            REQUIRE(size == answer.size());
        });
    }
    const FixedAnswer second(answer);
    {
        StoreClient client(context, timers, second.endpoint());
        measure("HTTP body, rows and base64", [&] {
            std::size_t size = 0;
            client.readTable("op",
                             [&](const StoreRows &rows) { size = rows.rows.at(0).value.size(); });
            while (size == 0)
                context.run_one();
            REQUIRE(size == document.size());
        });
    }
    measure("configuration to queue rules",
            [&] { REQUIRE(decodeConfig(document)->rules.size() == Queues); });
    const Message message = ConfigDocument{ConfigVersion(9), {}, document};
    std::string frame;
    measure("message to frame", [&] { frame = encodeFrame(1, {message}); });
    measure("frame to message",
            [&] { REQUIRE(decodeFrame(frame, 8UL << 20)->messages.size() == 1); });
}
