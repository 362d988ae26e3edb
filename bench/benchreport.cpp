// bench_report FILE...: joins the results of benchmarks, one JSON object a line, into the table
// that bench.sh prints. Exit status 1 if a figure is beyond its bound or a line is not a result.
#include <nlohmann/json.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace {

using Json = nlohmann::json;

std::string cell(const Json &result, const std::string &key)
{
    const auto position = result.find(key);
    if (position == result.end() || position->is_null())
        return "-";
    if (position->is_string())
        return position->get<std::string>();
    // bench_policy gives the ratios to several baselines as an object.
    if (!position->is_number())
        return position->dump();
    std::ostringstream text;
    text << std::setprecision(5) << position->get<double>();
    return text.str();
}

void printRow(const std::vector<std::string> &cells)
{
    constexpr int NameWidth = 36;
    constexpr int CellWidth = 16;
    std::cout << std::left << std::setw(NameWidth) << cells.front();
    for (std::size_t i = 1; i < cells.size(); ++i)
        std::cout << ' ' << std::setw(CellWidth) << cells[i];
    std::cout << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::string> failures;
    printRow({"name", "value", "bound", "baseline", "unit", "ok"});
    for (int i = 1; i < argc; ++i) {
        std::ifstream file(argv[i]);
        if (!file)
            failures.push_back(std::string("unreadable file ") + argv[i]);
        for (std::string line; std::getline(file, line);) {
            const Json result = Json::parse(line, nullptr, false);
            if (!result.is_object() || !result.contains("name") || !result.contains("ok")) {
                failures.push_back("not a result: " + line);
                continue;
            }
            const bool ok = result.at("ok") == true;
            printRow({cell(result, "name"), cell(result, "value"), cell(result, "bound"),
                      cell(result, "baseline"), cell(result, "unit"), ok ? "yes" : "NO"});
            if (!ok)
                failures.push_back(cell(result, "name"));
        }
    }
    for (const std::string &name : failures)
        std::cout << "beyond its bound: " << name << '\n';
    return failures.empty() ? 0 : 1;
}
