// bench_chaos: the seeded run of faults on real processes; one JSON line for each figure.
#include "process/chaosrun.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
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

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2 || argc > 4) {
        std::cerr << "usage: bench_chaos OUTPUT [FAULTS] [SEED]\n";
        return 2;
    }
    ChaosSettings settings;
    if (argc > 2)
        settings.faults = static_cast<unsigned>(std::stoul(argv[2]));
    if (argc > 3)
        settings.seed = std::stoull(argv[3]);
    try {
        const ChaosVerdict verdict = runChaos(settings);
        for (const std::string &finding : verdict.findings)
            std::cerr << finding << '\n';
        std::cout << "seed " << settings.seed << " faults " << settings.faults << " submissions "
                  << verdict.submissions << " completed " << verdict.completed << " untouched "
                  << verdict.untouched << '\n';
        Report report(argv[1]);
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
