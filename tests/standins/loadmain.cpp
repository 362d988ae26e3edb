// bluebellquay-load: load generator for tests and benchmarks. Prints the summary as one JSON line.
#include "standins/commandline.h"
#include "standins/loadoptions.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>

using namespace Bluebellquay;

namespace {

Duration processorTime()
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(std::clock()) / CLOCKS_PER_SEC));
}

boost::leaf::result<void> generate(int argc, const char **argv)
{
    BOOST_LEAF_AUTO(command, parseLoadCommand(argc, argv));
    std::ofstream lines;
    if (!command.output.empty()) {
        lines.open(command.output, std::ios::binary | std::ios::trunc);
        if (!lines)
            return boost::leaf::new_error(
                CommandLineError{"--output: can't write " + command.output});
    }
    boost::asio::io_context context(1);
    TimerService timers(context);
    LoadReport report(command.output.empty() ? nullptr : &lines);
    BOOST_LEAF_AUTO(generator, LoadGenerator::create(context, timers, command.options, report));
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error)
            generator->abort();
    });
    const TimePoint start = timers.now();
    generator->start([&] { context.stop(); });
    context.run();
    std::cout << report.summary(timers.now() - start, processorTime()) << std::endl;
    if (lines.is_open() && !lines.flush())
        return boost::leaf::new_error(CommandLineError{"--output: not all lines were written"});
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram([&] { return generate(argc, const_cast<const char **>(argv)); });
}
