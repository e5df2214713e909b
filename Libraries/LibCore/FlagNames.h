#pragma once

namespace Fuchsiastep {

/// Rewrites "--log-level=debug" to "--log_level=debug" in place, because flags are documented with
/// hyphens and Abseil names them with underscores. Leaves values and everything after "--" alone.
void normalizeFlagNames(int argc, char **argv);

} // namespace Fuchsiastep
