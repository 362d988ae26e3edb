// Command line shared by the daemons: --config FILE, --check, --help, --version.
#pragma once

#include <string>
#include <variant>

namespace Bluebellquay {

// The process is to end with this status.
struct ExitStatus
{
    int code = 0;
};

constexpr int ExitUsage = 2;

class DaemonOptions
{
public:
    // Returns an ExitStatus after --help and --version (0), and after a usage error that has been
    // printed to standard error (ExitUsage).
    static std::variant<DaemonOptions, ExitStatus> parse(int argc, const char **argv);

    const std::string &configFile() const { return m_configFile; }
    // Only check the settings and report all findings.
    bool checkOnly() const { return m_checkOnly; }

private:
    std::string m_configFile;
    bool m_checkOnly = false;
};

} // namespace Bluebellquay
