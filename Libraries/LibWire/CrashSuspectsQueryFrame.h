#pragma once

namespace Fuchsiastep {

/// A proxy that has started asks for the crash suspects that the receiver knows.
struct CrashSuspectsQueryFrame
{
    bool operator==(const CrashSuspectsQueryFrame &) const = default;
};

} // namespace Fuchsiastep
