#include "bench/process/measure.h"

namespace Bluebellquay::Benchmark {

namespace {

nlohmann::ordered_json optionalNumber(const std::optional<double> &number)
{
    return number ? nlohmann::ordered_json(*number) : nlohmann::ordered_json(nullptr);
}

} // namespace

bool Measure::ok() const
{
    if (!value)
        return false;
    if (!bound)
        return true;
    return direction == Direction::AtMost ? *value <= *bound : *value >= *bound;
}

nlohmann::ordered_json Measure::toJson() const
{
    nlohmann::ordered_json json{{"name", name}, {"value", optionalNumber(value)},
                                {"unit", unit}, {"bound", optionalNumber(bound)},
                                {"ok", ok()},   {"baseline", optionalNumber(baseline)}};
    if (!note.empty())
        json["note"] = note;
    return json;
}

} // namespace Bluebellquay::Benchmark
