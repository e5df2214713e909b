#pragma once

#include <LibConfiguration/Configuration.h>

namespace Fuchsiastep {

/// Content of the object "snapshot/<version>": one whole configuration with its version and digest.
std::string encodeSnapshot(const Configuration &configuration);
/// Fails with PlatformMalformedAnswer, DigestMismatch or DanglingReference.
Result<Configuration::Pointer> tryDecodeSnapshot(std::string_view bytes);

} // namespace Fuchsiastep
