#include "core/keyedjob.h"

#include <charconv>
#include <iterator>

namespace Bluebellquay {

namespace {

constexpr std::size_t KeyDigits = 16;
constexpr int HexBase = 16;

} // namespace

std::string jobKeyText(JobKey key)
{
    char digits[KeyDigits];
    const auto [end, error] =
        std::to_chars(std::begin(digits), std::end(digits), key.value(), HexBase);
    const auto length = static_cast<std::size_t>(end - digits);
    return std::string(KeyDigits - length, '0') + std::string(digits, length);
}

std::size_t taskCount(const KeyedJobSpec &job)
{
    std::size_t count = 0;
    for (const KeyedStep &step : job.steps)
        count += step.tasks;
    return count;
}

} // namespace Bluebellquay
