#pragma once

#include <LibCore/Result.h>

#include <cstdio>
#include <cstdlib>

namespace Fuchsiastep::Benchmarks {

/// The value of \a result. Ends the program with the error where there is none, because a benchmark of failing
/// calls would measure nothing.
template<typename T>
T expectValue(Result<T> result)
{
    if (!isError(result))
        return valueOf(std::move(result));
    std::fprintf(stderr, "benchmark failed: error %d: %s\n", static_cast<int>(errorOf(result).code), errorOf(result).detail.c_str());
    std::abort();
}

} // namespace Fuchsiastep::Benchmarks
