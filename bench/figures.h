// Figures of the benchmark with their bounds, as JSON lines and as a table.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace Bluebellquay {

enum class Bound : std::uint8_t { None, AtMost, AtLeast };

struct Figure
{
    std::string name;
    double value = 0;
    std::string unit;
    Bound kind = Bound::None;
    // Meaningless without a kind.
    double bound = 0;
    // Value of this figure relative to that of the baseline, by baseline.
    std::map<std::string, double> baselines;

    bool ok() const;
};

// Nearest-rank percentile, share between 0 and 1; zero without values.
double percentile(std::vector<double> values, double share);

void writeJsonLines(std::ostream &out, const std::vector<Figure> &figures);
void writeTable(std::ostream &out, const std::vector<Figure> &figures);

} // namespace Bluebellquay
