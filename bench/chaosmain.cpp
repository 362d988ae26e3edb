// bench_chaos: injects seeded faults into real processes and writes one JSON line for each figure.
#include "process/chaosrun.h"

#include <nlohmann/json.hpp>
#include <popt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

using namespace Bluebellquay::Testing;

namespace {

constexpr double MinUntouchedShare = 0.99;

class Report
{
public:
    explicit Report(const std::string &file)
        : m_file(file)
    { }

    void add(const std::string &name, double value, const std::string &unit, double bound, bool ok)
    {
        const nlohmann::json line = {{"name", name},   {"value", value}, {"unit", unit},
                                     {"bound", bound}, {"ok", ok},       {"baseline", nullptr}};
        m_file << line.dump() << '\n';
        std::cout << name << ' ' << value << ' ' << unit << (ok ? "" : " BEYOND BOUND") << '\n';
        m_allOk = m_allOk && ok;
    }
    bool allOk() const { return m_allOk; }

private:
    std::ofstream m_file;
    bool m_allOk = true;
};

struct Options
{
    std::string output;
    ChaosSettings chaos;
};

// Returns nothing after a usage error that has been printed.
std::optional<Options> parseOptions(int argc, char **argv)
{
    char *output = nullptr;
    int faults = 0;
    long long seed = 0;
    const poptOption table[] = {
        {"output", 'o', POPT_ARG_STRING, &output, 0, "file for the results", "FILE"},
        {"faults", 'f', POPT_ARG_INT, &faults, 0, "number of faults (220)", "N"},
        {"seed", 's', POPT_ARG_LONGLONG, &seed, 0, "seed of callers and faults (1)", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext(nullptr, argc, const_cast<const char **>(argv), table, 0), poptFreeContext);
    const int status = poptGetNextOpt(context.get());
    const std::unique_ptr<char, decltype(&std::free)> owner(output, &std::free);
    if (status < -1 || output == nullptr || faults < 0 || seed < 0) {
        std::cerr << "bench_chaos: --output FILE is required; see --help\n";
        return std::nullopt;
    }
    Options options;
    options.output = output;
    if (faults > 0)
        options.chaos.faults = static_cast<unsigned>(faults);
    if (seed > 0)
        options.chaos.seed = static_cast<std::uint64_t>(seed);
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const std::optional<Options> options = parseOptions(argc, argv);
    if (!options)
        return 2;
    const ChaosSettings &settings = options->chaos;
    try {
        const ChaosVerdict verdict = runChaos(settings);
        for (const std::string &finding : verdict.findings)
            std::cerr << finding << '\n';
        std::cout << "seed " << settings.seed << " faults " << settings.faults << " submissions "
                  << verdict.submissions << " completed " << verdict.completed << " untouched "
                  << verdict.untouched << '\n';
        Report report(options->output);
        const auto none = [&](const std::string &name, unsigned count) {
            report.add(name, count, "count", 0, count == 0);
        };
        none("chaos_double_starts", verdict.doubleStarts);
        none("chaos_partial_answers", verdict.partialAnswers);
        none("chaos_false_not_run", verdict.falseNotRun);
        none("chaos_crossed_answers", verdict.crossedAnswers);
        none("chaos_changed_answers", verdict.changedAnswers);
        report.add("chaos_untouched_completed", verdict.untouchedShare(), "share",
                   MinUntouchedShare, verdict.untouchedShare() >= MinUntouchedShare);
        return report.allOk() ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception &error) {
        std::cerr << "bench_chaos: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
