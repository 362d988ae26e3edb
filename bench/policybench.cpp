// The policy benchmark: real AgentCores under a virtual clock with seeded arrivals. Prints a table
// and writes one JSON object per figure.
#include "crestfigures.h"
#include "normalfigures.h"
#include "svgplot.h"

#include <popt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>

using namespace Bluebellquay;

namespace {

constexpr Duration Second{1'000'000};
constexpr Duration QuickLength = Second * 120;
constexpr Duration FullLength = Second * 900;
constexpr Duration FaultyLength = Second * 300;
constexpr std::size_t QuickOverloadRuns = 2;
constexpr std::size_t FullOverloadRuns = 8;

struct Options
{
    std::string output;
    std::string plot;
    bool quick = false;
    bool verbose = false;
    std::uint64_t seed = 1;
};

std::string takeString(char *text)
{
    const std::unique_ptr<char, decltype(&std::free)> owner(text, &std::free);
    return text == nullptr ? std::string() : std::string(text);
}

bool parse(int argc, const char **argv, Options &options)
{
    char *output = nullptr;
    char *plot = nullptr;
    int quick = 0;
    int verbose = 0;
    long seed = 1;
    const poptOption table[] = {
        {"output", 'o', POPT_ARG_STRING, &output, 0, "Write one JSON object per figure", "FILE"},
        {"plot", '\0', POPT_ARG_STRING, &plot, 0, "Write a plot and measure nothing else", "FILE"},
        {"quick", '\0', POPT_ARG_NONE, &quick, 0, "Use fewer arrivals", nullptr},
        {"verbose", 'v', POPT_ARG_NONE, &verbose, 0, "Print message counts and outcomes", nullptr},
        {"seed", '\0', POPT_ARG_LONG, &seed, 0, "Seed of all random choices", "N"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<std::remove_pointer_t<poptContext>, poptContext (*)(poptContext)> context(
        poptGetContext(nullptr, argc, argv, table, 0), &poptFreeContext);
    const int status = poptGetNextOpt(context.get());
    options = {takeString(output), takeString(plot), quick != 0, verbose != 0,
               static_cast<std::uint64_t>(seed)};
    if (status < -1 || poptPeekArg(context.get()) != nullptr) {
        std::cerr << "bench_policy: invalid arguments; see --help\n";
        return false;
    }
    return true;
}

std::vector<Figure> measure(const Options &options)
{
    std::ofstream discarded;
    std::ostream &log = options.verbose ? std::cout : discarded;
    std::vector<Figure> figures =
        normalFigures(options.seed, options.quick ? QuickLength : FullLength, log);
    figures.push_back(
        wastedMessagesWithFaults(options.seed, options.quick ? QuickLength : FaultyLength, log));
    const std::vector<Figure> overload =
        overloadFigures(options.seed, options.quick ? QuickOverloadRuns : FullOverloadRuns, log);
    figures.insert(figures.end(), overload.begin(), overload.end());
    return figures;
}

// Returns the exit status.
int finish(std::ofstream &file, const std::string &name)
{
    file.close();
    if (file)
        return 0;
    std::cerr << "bench_policy: cannot write " << name << '\n';
    return 1;
}

} // namespace

int main(int argc, const char **argv)
{
    Options options;
    if (!parse(argc, argv, options))
        return 2;
    if (!options.plot.empty()) {
        std::ofstream file(options.plot);
        writeSvg(file, policyPanels(options.seed, options.quick));
        return finish(file, options.plot);
    }
    const std::vector<Figure> figures = measure(options);
    writeTable(std::cout, figures);
    if (options.output.empty())
        return 0;
    std::ofstream file(options.output);
    writeJsonLines(file, figures);
    return finish(file, options.output);
}
