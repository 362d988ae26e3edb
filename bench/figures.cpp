#include "figures.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace Bluebellquay {

namespace {

std::string boundText(const Figure &figure)
{
    if (figure.kind == Bound::None)
        return "-";
    std::ostringstream text;
    text << (figure.kind == Bound::AtMost ? "<= " : ">= ") << figure.bound;
    return text.str();
}

} // namespace

bool Figure::ok() const
{
    switch (kind) {
    case Bound::AtMost:
        return value <= bound;
    case Bound::AtLeast:
        return value >= bound;
    case Bound::None:
        break;
    }
    return true;
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto rank =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    const auto position =
        values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

void writeJsonLines(std::ostream &out, const std::vector<Figure> &figures)
{
    for (const Figure &figure : figures) {
        nlohmann::ordered_json line;
        line["name"] = figure.name;
        line["value"] = figure.value;
        line["unit"] = figure.unit;
        line["bound"] = nullptr;
        if (figure.kind != Bound::None)
            line["bound"] = figure.bound;
        line["ok"] = figure.ok();
        line["baseline"] = nullptr;
        if (!figure.baselines.empty())
            line["baseline"] = figure.baselines;
        out << line.dump() << '\n';
    }
}

void writeTable(std::ostream &out, const std::vector<Figure> &figures)
{
    for (const Figure &figure : figures) {
        out << std::left << std::setw(38) << figure.name << std::right << std::setw(10)
            << std::fixed << std::setprecision(4) << figure.value << ' ' << std::left
            << std::setw(6) << figure.unit << std::setw(9) << boundText(figure) << std::setw(6)
            << (figure.kind == Bound::None ? ""
                    : figure.ok()          ? "ok"
                                           : "MISS");
        for (const auto &[name, ratio] : figure.baselines)
            out << ' ' << name << '=' << std::setprecision(3) << ratio;
        out << '\n';
    }
}

} // namespace Bluebellquay
