#include "daemons/randomseed.h"

#include <random>

namespace Bluebellquay {

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

Incarnation randomIncarnation()
{
    std::uint64_t value = 0;
    while (value == 0)
        value = randomSeed();
    return Incarnation(value);
}

} // namespace Bluebellquay
