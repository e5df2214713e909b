#include "AllocationCounter.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

/// glibc stores the size of a block in front of it.
constexpr std::int64_t BlockHeaderBytes = 8;

std::atomic<std::int64_t> liveBytes {0};

void *allocate(std::size_t size)
{
    void *block = std::malloc(size);
    if (!block) {
        std::abort();
    }
    liveBytes.fetch_add(static_cast<std::int64_t>(malloc_usable_size(block)) + BlockHeaderBytes, std::memory_order_relaxed);
    return block;
}

void release(void *block)
{
    if (!block) {
        return;
    }
    liveBytes.fetch_sub(static_cast<std::int64_t>(malloc_usable_size(block)) + BlockHeaderBytes, std::memory_order_relaxed);
    std::free(block);
}

} // namespace

void *operator new(std::size_t size)
{
    return allocate(size);
}

void *operator new[](std::size_t size)
{
    return allocate(size);
}

void operator delete(void *block) noexcept
{
    release(block);
}

void operator delete[](void *block) noexcept
{
    release(block);
}

void operator delete(void *block, std::size_t) noexcept
{
    release(block);
}

void operator delete[](void *block, std::size_t) noexcept
{
    release(block);
}

namespace Fuchsiastep::Benchmarks {

std::int64_t liveHeapBytes()
{
    return liveBytes.load(std::memory_order_relaxed);
}

} // namespace Fuchsiastep::Benchmarks
