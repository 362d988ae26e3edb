// Nonces from the kernel's random generator, read in blocks to save system calls.
#pragma once

#include "base/submissionid.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Bluebellquay {

class NoncePool
{
public:
    // Throws std::system_error if the kernel supplies no random bytes.
    std::uint64_t nextNumber();
    Nonce next() { return Nonce(nextNumber()); }

private:
    // 32 numbers of 8 bytes, because getentropy() returns at most 256 bytes per call.
    std::array<std::uint64_t, 32> m_numbers{};
    // Index of the first unused number; 32 if none is left.
    std::size_t m_next = 32;
};

} // namespace Bluebellquay
