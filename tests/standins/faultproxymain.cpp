// bluebellquay-faultproxy: TCP relays on loopback that inject faults; see faultproxy.h for the
// commands. Each argument NAME:LISTEN_PORT:TARGET_PORT adds a relay. Prints the control port and
// the relays on standard output and runs until SIGTERM or SIGINT.
#include "standins/faultproxy.h"

#include <boost/asio/signal_set.hpp>
#include <popt.h>

#include <algorithm>
#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <string>

using namespace Bluebellquay::Testing;

namespace {

constexpr int ExitUsage = 2;

int run(int controlPort, const char **relays)
{
    boost::asio::io_context context;
    FaultProxy proxy(context, static_cast<unsigned short>(controlPort));
    std::cout << "control 127.0.0.1:" << proxy.controlPort() << std::endl;
    for (; relays != nullptr && *relays != nullptr; ++relays) {
        std::string words = *relays;
        std::replace(words.begin(), words.end(), ':', ' ');
        const std::string reply = proxy.execute("add " + words);
        if (reply.rfind("ok", 0) != 0) {
            std::cerr << "bluebellquay-faultproxy: " << *relays << ": " << reply << std::endl;
            return ExitUsage;
        }
        std::cout << "relay " << words.substr(0, words.find(' '))
                  << " 127.0.0.1:" << reply.substr(reply.find(' ') + 1) << std::endl;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    int controlPort = 0;
    const poptOption options[] = {{"control", 'c', POPT_ARG_INT, &controlPort, 0,
                                   "port for commands; 0 takes a free one", "PORT"},
                                  POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> parser(
        poptGetContext(nullptr, argc, const_cast<const char **>(argv), options, 0),
        poptFreeContext);
    poptSetOtherOptionHelp(parser.get(), "[OPTION...] [NAME:LISTEN_PORT:TARGET_PORT...]");
    if (const int parsed = poptGetNextOpt(parser.get()); parsed < -1) {
        std::cerr << "bluebellquay-faultproxy: " << poptStrerror(parsed) << std::endl;
        return ExitUsage;
    }
    if (controlPort < 0 || controlPort > 65535) {
        std::cerr << "bluebellquay-faultproxy: --control must be a port" << std::endl;
        return ExitUsage;
    }
    try {
        return run(controlPort, poptGetArgs(parser.get()));
    } catch (const std::exception &error) {
        std::cerr << "bluebellquay-faultproxy: " << error.what() << std::endl;
        return 1;
    }
}
