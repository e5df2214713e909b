#pragma once

#include <cstdint>

namespace Fuchsiastep::Benchmarks {

/// Bytes that operator new has handed out and that are not freed yet, as the allocator rounds them, with its
/// header of each block. Benchmarks take differences of it.
std::int64_t liveHeapBytes();

} // namespace Fuchsiastep::Benchmarks
