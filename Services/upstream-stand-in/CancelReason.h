#pragma once

namespace Fuchsiastep {

/// Why a run was given up before its end.
enum class CancelReason {
    ClientGone,
    Deadline,
};

} // namespace Fuchsiastep
