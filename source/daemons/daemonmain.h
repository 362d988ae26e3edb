// Shared main() of the daemons: parses the options, loads the settings and prints every finding
// about them, runs the event loop, and returns the exit status of the process.
#pragma once

#include "config/finding.h"
#include "daemons/daemonoptions.h"
#include "daemons/filelimit.h"
#include "kernel/eventloop.h"
#include "kernel/log.h"
#include "net/connectclient.h"
#include "net/connectserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/leaf.hpp>

#include <iostream>
#include <string>
#include <string_view>
#include <variant>

namespace Bluebellquay {

// Exit status of a daemon that could not be started although its settings are valid.
constexpr int ExitFailure = 1;

// Runs a daemon until it stops and returns the exit status. Settings must have a static load(path)
// and a member `process`. Daemon must have a static create(context, settings), and must stop the
// context or leave it without work after a planned stop. The name is the program name for the log.
template <typename Daemon, typename Settings>
int daemonMain(int argc, const char **argv, std::string_view name)
{
    const auto parsed = DaemonOptions::parse(argc, argv);
    if (const auto *status = std::get_if<ExitStatus>(&parsed))
        return status->code;
    const auto &options = std::get<DaemonOptions>(parsed);

    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(settings, Settings::load(options.configFile()));
            if (options.checkOnly()) {
                std::cout << options.configFile() << ": no findings\n";
                return 0;
            }
            initializeLog(name, settings.process.logLevel);
            raiseFileLimit();
            boost::asio::io_context context(1);
            BOOST_LEAF_AUTO(daemon, Daemon::create(context, std::move(settings)));
            runEventLoop(context);
            return 0;
        },
        [](const Findings &findings) {
            for (const Finding &finding : findings)
                std::cerr << toString({finding}) << '\n';
            return ExitUsage;
        },
        [](const ListenError &error) {
            std::cerr << "can't listen on " << error.endpoint << ": " << error.reason << '\n';
            return ExitFailure;
        },
        [](const AddressError &error) {
            std::cerr << '"' << error.address << "\" is not an IP number and a port\n";
            return ExitFailure;
        },
        [](const std::string &message) {
            std::cerr << message << '\n';
            return ExitFailure;
        },
        [] {
            std::cerr << "the process could not be started\n";
            return ExitFailure;
        });
}

} // namespace Bluebellquay
