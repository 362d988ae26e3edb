// Measured figures of the policy benchmark with their bounds, and their output as JSON lines and as
// a table.
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
    // Limit for `value`; ignored if `kind` is None.
    double bound = 0;
    // Ratio of this value to the value of each baseline, by the name of the baseline.
    std::map<std::string, double> baselines;

    // True if the value is within its bound or has none.
    bool ok() const;
};

// Nearest-rank percentile for a share between 0 and 1; returns 0 if there are no values.
double percentile(std::vector<double> values, double share);

void writeJsonLines(std::ostream &out, const std::vector<Figure> &figures);
void writeTable(std::ostream &out, const std::vector<Figure> &figures);

} // namespace Bluebellquay
