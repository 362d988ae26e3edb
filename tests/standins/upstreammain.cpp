// bluebellquay-upstream: stand-in of an upstream for tests.
#include "standins/endpointoption.h"
#include "standins/upstreamstandin.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

using namespace Bluebellquay;

namespace {

struct Options
{
    std::string listen = "127.0.0.1:0";
    std::string startLog;
    std::uint32_t announceIntervalMs = 1000;
    bool leaveOnSigterm = false;
    UpstreamStandinSettings upstream;
};

boost::leaf::result<Options> parseOptions(int argc, const char **argv)
{
    Options options;
    CommandLine commandLine("bluebellquay-upstream");
    commandLine.add("listen", options.listen, "address to serve at, IP:port (127.0.0.1:0)");
    commandLine.add("agent", options.upstream.agent,
                    "IP:port where the agent takes announcements; none if not given");
    commandLine.add("slots", options.upstream.slots, "announced slots (8)");
    commandLine.add("connections", options.upstream.connections, "announced connections (64)");
    commandLine.add("milli-processors", options.upstream.milliProcessors,
                    "announced thousandths of a processor (64000)");
    commandLine.add("memory-bytes", options.upstream.memoryBytes, "announced memory (128 GiB)");
    commandLine.add("announce-interval-ms", options.announceIntervalMs,
                    "time between announcements (1000)");
    commandLine.add("fail-everything", options.upstream.failEverything,
                    "fail each task as soon as it is started");
    commandLine.add("leave-on-sigterm", options.leaveOnSigterm,
                    "on SIGTERM say Leave, finish what runs, then exit; else exit at once");
    commandLine.add("start-log", options.startLog,
                    "file that gets one line \"<task> <attempt>\" for each start");
    BOOST_LEAF_CHECK(commandLine.parse(argc, argv));
    if (options.announceIntervalMs == 0)
        return boost::leaf::new_error(CommandLineError{"--announce-interval-ms: must be above 0"});
    BOOST_LEAF_ASSIGN(options.upstream.endpoint, endpointOption("--listen", options.listen));
    options.upstream.announceInterval = std::chrono::milliseconds(options.announceIntervalMs);
    return options;
}

boost::leaf::result<void> serve(int argc, const char **argv)
{
    BOOST_LEAF_AUTO(options, parseOptions(argc, argv));
    BOOST_LEAF_AUTO(startLog, StartLog::open(options.startLog));
    boost::asio::io_context context(1);
    TimerService timers(context);
    BOOST_LEAF_AUTO(
        upstream, UpstreamStandin::create(context, timers, options.upstream, std::move(startLog)));
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int signal) {
        if (signal == SIGTERM && options.leaveOnSigterm)
            upstream->leave([&] { context.stop(); });
        else
            context.stop();
    });
    std::cout << upstream->port() << std::endl;
    context.run();
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram([&] { return serve(argc, const_cast<const char **>(argv)); });
}
