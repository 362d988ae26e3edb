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
    // Nothing if the measurement failed; the note says why.
    std::optional<double> value;
    std::string unit;
    // Nothing for figures that only inform.
    std::optional<double> bound;
    Direction direction = Direction::AtMost;
    // The same measure without the dispatcher.
    std::optional<double> baseline;
    std::string note;

    // Within the bound, or measured at all if there is none.
    bool ok() const;
    // {"name", "value", "unit", "bound", "ok", "baseline"} and the note if there is one.
    nlohmann::ordered_json toJson() const;
};

} // namespace Bluebellquay::Benchmark
