// bluebellquay-table: stand-in of the platform's table service for tests.
#include "standins/endpointoption.h"
#include "standins/tablestandin.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

using namespace Bluebellquay;

namespace {

boost::leaf::result<void> serve(int argc, const char **argv)
{
    std::string listen = "127.0.0.1:0";
    CommandLine commandLine("bluebellquay-table");
    commandLine.add("listen", listen, "address to serve at, IP:port (127.0.0.1:0)");
    BOOST_LEAF_CHECK(commandLine.parse(argc, argv));
    BOOST_LEAF_AUTO(endpoint, endpointOption("--listen", listen));

    boost::asio::io_context context(1);
    TimerService timers(context);
    BOOST_LEAF_AUTO(table, TableStandin::create(context, timers, endpoint));
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    std::cout << table->port() << std::endl;
    context.run();
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram([&] { return serve(argc, const_cast<const char **>(argv)); });
}
