// One measured figure with its bound from section 1 of docs/design.md.
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace Bluebellquay::Benchmark {

enum class Direction { AtMost, AtLeast };

struct Measure
{
    std::string name;
    // Empty if the measurement failed; the note says why.
    std::optional<double> value;
    std::string unit;
    // Empty for figures that have no limit.
    std::optional<double> bound;
    Direction direction = Direction::AtMost;
    // Value of the same measure without the dispatcher, if it was measured.
    std::optional<double> baseline;
    std::string note;

    // True if the value is within the bound; without a bound, true if there is a value.
    bool ok() const;
    // {"name", "value", "unit", "bound", "ok", "baseline"} and the note if there is one.
    nlohmann::ordered_json toJson() const;
};

} // namespace Bluebellquay::Benchmark
