// Command line shared by the daemons: --config FILE, --check, --help, --version.
#pragma once

#include <string>
#include <variant>

namespace Bluebellquay {

// Tells the caller of parse() to end the process with this exit status.
struct ExitStatus
{
    int code = 0;
};

// Exit status after a usage error or findings about the settings.
constexpr int ExitUsage = 2;

class DaemonOptions
{
public:
    // Returns an ExitStatus after --help and --version (0), and after a usage error that has been
    // printed to standard error (ExitUsage).
    static std::variant<DaemonOptions, ExitStatus> parse(int argc, const char **argv);

    // Path of the settings file, as given with --config.
    const std::string &configFile() const { return m_configFile; }
    // True if the process only checks its settings, prints all findings and exits.
    bool checkOnly() const { return m_checkOnly; }

private:
    std::string m_configFile;
    bool m_checkOnly = false;
};

} // namespace Bluebellquay
