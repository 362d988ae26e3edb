// bluebellquay-dispatcher-standin: answers submissions at once, to measure the load generator.
#include "standins/dispatcherstandin.h"
#include "standins/endpointoption.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

using namespace Bluebellquay;

namespace {

boost::leaf::result<void> serve(int argc, const char **argv)
{
    std::string listen = "127.0.0.1:0";
    std::string home = "0000000000000001";
    CommandLine commandLine("bluebellquay-dispatcher-standin");
    commandLine.add("listen", listen, "address to serve at, IP:port (127.0.0.1:0)");
    commandLine.add("home", home, "sixteen hexadecimal digits that issued ids start with");
    BOOST_LEAF_CHECK(commandLine.parse(argc, argv));
    BOOST_LEAF_AUTO(endpoint, endpointOption("--listen", listen));

    boost::asio::io_context context(1);
    BOOST_LEAF_AUTO(dispatcher, DispatcherStandin::create(context, endpoint, home));
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    std::cout << dispatcher->port() << std::endl;
    context.run();
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram([&] { return serve(argc, const_cast<const char **>(argv)); });
}
