#include "daemons/entry/noncepool.h"

#include <sys/random.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace Bluebellquay {

std::uint64_t NoncePool::nextNumber()
{
    if (m_next == m_numbers.size()) {
        if (getentropy(m_numbers.data(), sizeof m_numbers) != 0)
            throw std::system_error(errno, std::system_category(), "getentropy");
        m_next = 0;
    }
    // Erases the number from the pool, because a number that was issued must not stay in memory.
    return std::exchange(m_numbers[m_next++], 0);
}

} // namespace Bluebellquay
