#include "daemons/daemonoptions.h"

#include <popt.h>

#include <cstdio>
#include <iostream>
#include <memory>

namespace Bluebellquay {

namespace {

struct ContextDeleter
{
    void operator()(poptContext context) const { poptFreeContext(context); }
};
using ContextPointer = std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

ExitStatus usageError(const std::string &message)
{
    std::cerr << message << "; see --help\n";
    return ExitStatus{ExitUsage};
}

} // namespace

std::variant<DaemonOptions, ExitStatus> DaemonOptions::parse(int argc, const char **argv)
{
    char *configFile = nullptr;
    int checkOnly = 0;
    int help = 0;
    int version = 0;
    const poptOption table[] = {
        {"config", 'c', POPT_ARG_STRING, &configFile, 0, "Settings of this process, in TOML",
         "FILE"},
        {"check", '\0', POPT_ARG_NONE, &checkOnly, 0,
         "Check the settings, report all findings and exit", nullptr},
        {"version", '\0', POPT_ARG_NONE, &version, 0, "Print the version and exit", nullptr},
        {"help", 'h', POPT_ARG_NONE, &help, 0, "Print this help and exit", nullptr},
        POPT_TABLEEND,
    };
    const ContextPointer context(poptGetContext(nullptr, argc, argv, table, 0));
    const int status = poptGetNextOpt(context.get());
    const std::unique_ptr<char, decltype(&std::free)> configOwner(configFile, &std::free);
    if (status < -1)
        return usageError(std::string(poptBadOption(context.get(), 0)) + ": "
                          + poptStrerror(status));
    if (help != 0) {
        poptPrintHelp(context.get(), stdout, 0);
        return ExitStatus{0};
    }
    if (version != 0) {
        std::cout << "bluebellquay " << BLUEBELLQUAY_VERSION << '\n';
        return ExitStatus{0};
    }
    if (const char *argument = poptGetArg(context.get()); argument != nullptr)
        return usageError(std::string("unexpected argument '") + argument + "'");
    if (configFile == nullptr)
        return usageError("--config FILE is required");

    DaemonOptions options;
    options.m_configFile = configFile;
    options.m_checkOnly = checkOnly != 0;
    return options;
}

} // namespace Bluebellquay
