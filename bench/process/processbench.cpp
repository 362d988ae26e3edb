// bench_process: measures real daemons on loopback against the bounds of docs/design.md. Writes one
// JSON line for each figure. A measurement that fails is a figure without value, which is beyond
// its bound. Exit status 1 if a figure is beyond its bound.
#include "bench/process/measurements.h"
#include "standins/commandline.h"

#include <chrono>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <stdexcept>
#include <string_view>

using namespace Bluebellquay;
using namespace Bluebellquay::Benchmark;

namespace {

constexpr unsigned TargetAgents = 11;

std::string loadAverage()
{
    std::ifstream file("/proc/loadavg");
    std::string line;
    std::getline(file, line);
    return line;
}

class Run
{
public:
    // Only names the part to run, for profiling: sites, entry or records; all if empty.
    Run(bool quick, std::string only)
        : m_quick(quick)
        , m_only(std::move(only))
    { }

    void all()
    {
        if (wanted("sites"))
            sites();
        if (wanted("entry"))
            add("entry_requests_per_core_s", [&] { return measureEntryThroughput(m_quick); });
        if (wanted("records"))
            add("agent_bytes_per_record", [&] { return measureRecordMemory(m_quick); });
    }

    const Measures &measures() const { return m_measures; }

private:
    bool wanted(std::string_view part) const { return m_only.empty() || m_only == part; }

    void sites()
    {
        std::vector<IdleCost> idle;
        for (const unsigned agents : m_quick ? std::vector<unsigned>{3, 6, TargetAgents}
                                             : std::vector<unsigned>{3, 6, TargetAgents, 22})
            runSite(agents, idle);
        add("agent_idle_cpu_share", [&] { return idleCostMeasures(idle); });
    }

    // Measurements in a system without other load reuse the idle site of the target size.
    void runSite(unsigned agents, std::vector<IdleCost> &idle)
    {
        Testing::SiteLayout layout;
        layout.agents = agents;
        std::unique_ptr<Testing::Site> site;
        add("idle_" + std::to_string(agents), [&] {
            site = startSite(layout);
            idle.push_back(measureIdleCost(*site, m_quick));
            return Measures();
        });
        if (agents != TargetAgents)
            return;
        const auto withSite = [&](auto measurement) {
            return [&site, measurement, this] {
                if (!site)
                    throw std::runtime_error("the site did not start");
                return measurement(*site, m_quick);
            };
        };
        add("overhead_ms_p50", withSite(measureOverhead));
        add("config_in_force_s", withSite(measureConfigInForce));
        add("drain_last_start_s", withSite(measureDrain));
    }

    void add(const std::string &name, const std::function<Measures()> &measurement)
    {
        std::cout << name << " (load average " << loadAverage() << ")" << std::endl;
        try {
            for (Measure &measure : measurement())
                m_measures.push_back(std::move(measure));
        } catch (const std::exception &error) {
            std::cout << "  failed: " << error.what() << std::endl;
            Measure failed;
            failed.name = name;
            failed.note = error.what();
            m_measures.push_back(std::move(failed));
        }
    }

    bool m_quick;
    std::string m_only;
    Measures m_measures;
};

} // namespace

std::unique_ptr<Testing::Site> Benchmark::startSite(const Testing::SiteLayout &layout)
{
    auto site = std::make_unique<Testing::Site>(layout);
    site->startAll();
    return site;
}

int main(int argc, char **argv)
{
    return runProgram([&]() -> boost::leaf::result<void> {
        std::string output;
        std::string only;
        bool quick = false;
        CommandLine commandLine("bench_process");
        commandLine.add("output", output, "file for one JSON line for each figure");
        commandLine.add("quick", quick, "short windows and fewer sizes");
        commandLine.add("only", only, "sites, entry or records: only this part");
        BOOST_LEAF_CHECK(commandLine.parse(argc, const_cast<const char **>(argv)));
        if (!only.empty() && only != "sites" && only != "entry" && only != "records")
            return boost::leaf::new_error(CommandLineError{"--only: sites, entry or records"});
        Run run(quick, only);
        run.all();
        std::ofstream file(output);
        bool within = true;
        for (const Measure &measure : run.measures()) {
            const std::string line = measure.toJson().dump(
                -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
            std::cout << line << std::endl;
            file << line << '\n';
            within = within && measure.ok();
        }
        std::cout << "load average at the end: " << loadAverage() << std::endl;
        if (!output.empty() && !file.flush())
            return boost::leaf::new_error(CommandLineError{"--output: can't write " + output});
        if (!within)
            return boost::leaf::new_error(CommandLineError{"some figures are beyond their bounds"});
        return {};
    });
}
