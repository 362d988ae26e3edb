#include "config/nearestname.h"

#include <algorithm>
#include <numeric>

namespace Bluebellquay {

namespace {

// Longer names are not compared, since the time rises with the product of the lengths.
constexpr std::size_t MaxComparedLength = 64;

// Levenshtein distance.
std::size_t editDistance(std::string_view from, std::string_view to)
{
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < from.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < to.size(); ++j) {
            const std::size_t substitution = diagonal + (from[i] == to[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substitution, row[j] + 1, diagonal + 1});
        }
    }
    return row.back();
}

} // namespace

std::optional<std::string> nearestName(std::string_view name, const std::vector<std::string> &known)
{
    if (name.size() > MaxComparedLength)
        return std::nullopt;
    std::optional<std::string> nearest;
    std::size_t nearestDistance = 0;
    for (const std::string &candidate : known) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance > std::max<std::size_t>(2, candidate.size() / 3))
            continue;
        if (!nearest || distance < nearestDistance) {
            nearest = candidate;
            nearestDistance = distance;
        }
    }
    return nearest;
}

} // namespace Bluebellquay
