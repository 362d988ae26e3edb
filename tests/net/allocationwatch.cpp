#include "net/allocationwatch.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> largest{0};

} // namespace

void *operator new(std::size_t size, const std::nothrow_t &) noexcept
{
    if (size > largest.load(std::memory_order_relaxed))
        largest.store(size, std::memory_order_relaxed);
    return std::malloc(std::max<std::size_t>(size, 1));
}

void *operator new(std::size_t size)
{
    if (void *memory = operator new(size, std::nothrow))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace Bluebellquay::Testing {

void resetLargestAllocation()
{
    largest = 0;
}

std::size_t largestAllocation()
{
    return largest;
}

} // namespace Bluebellquay::Testing
