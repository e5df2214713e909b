#pragma once

#include <LibCore/Result.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// Compresses bytes that travel between instances, whose links may be slow. Bytes that do not become shorter are kept.
std::string compress(std::string_view bytes);

/// Gives back what compress() took. Fails with FrameMalformed for other bytes, and for content longer than
/// \a maximumBytes, so that a faulty peer cannot use up the memory.
Result<std::string> tryDecompress(std::string_view bytes, std::size_t maximumBytes);

} // namespace Fuchsiastep
