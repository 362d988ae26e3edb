// bluebellquay-entry: see help/bluebellquay-entry.md.
#include "config/daemonsettings.h"
#include "daemons/entry/entrydaemon.h"
#include "kernel/log.h"

#include <popt.h>
#include <sys/resource.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>

using namespace Bluebellquay;

namespace {

constexpr int UsageError = 2;

struct Options
{
    std::string config;
    bool check = false;
};

// Returns nothing, after a message, if the command line is wrong. Exits on --help.
std::optional<Options> parseOptions(int argc, const char **argv)
{
    char *config = nullptr;
    int check = 0;
    const poptOption table[] = {
        {"config", 'c', POPT_ARG_STRING, &config, 0, "Read the settings from this TOML file",
         "FILE"},
        {"check", 0, POPT_ARG_NONE, &check, 0, "Check the settings and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext(nullptr, argc, argv, table, 0), poptFreeContext);
    const int result = poptGetNextOpt(context.get());
    Options options{config == nullptr ? std::string() : config, check != 0};
    std::free(config); // NOLINT: popt allocates it with malloc.
    if (result < -1) {
        std::cerr << poptBadOption(context.get(), POPT_BADOPTION_NOALIAS) << ": "
                  << poptStrerror(result) << "\n";
        return std::nullopt;
    }
    if (poptPeekArg(context.get()) != nullptr) {
        std::cerr << poptPeekArg(context.get()) << ": unexpected argument\n";
        return std::nullopt;
    }
    if (options.config.empty()) {
        std::cerr << "--config: required; name the settings file\n";
        return std::nullopt;
    }
    return options;
}

// Each call in progress holds a connection, and the usual soft limit is far below max_calls.
void raiseFileLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

boost::leaf::result<int> run(const Options &options)
{
    BOOST_LEAF_AUTO(settings, EntrySettings::load(options.config));
    if (options.check) {
        std::cout << options.config << ": ok\n";
        return EXIT_SUCCESS;
    }
    initializeLog("bluebellquay-entry", settings.process.logLevel);
    raiseFileLimit();
    boost::asio::io_context context(1);
    BOOST_LEAF_AUTO(daemon, EntryDaemon::create(context, std::move(settings)));
    context.run();
    return EXIT_SUCCESS;
}

int fail(const std::string &message)
{
    std::cerr << message << "\n";
    return EXIT_FAILURE;
}

} // namespace

int main(int argc, const char **argv)
{
    const std::optional<Options> options = parseOptions(argc, argv);
    if (!options)
        return UsageError;
    return boost::leaf::try_handle_all(
        [&] { return run(*options); },
        [](const Findings &findings) { return fail(toString(findings)); },
        [](const ListenError &error) {
            return fail("can't listen on " + error.endpoint + ": " + error.reason);
        },
        [](const AddressError &error) {
            return fail("\"" + error.address + "\" is not an IP number and a port");
        },
        [](const std::string &message) { return fail(message); },
        [] { return fail("can't start; the cause is not known"); });
}
