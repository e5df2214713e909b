#pragma once

#include <LibCore/Clock.h>

namespace Fuchsiastep {

/// Take no new work from other proxies, finish the rest and say when it is done.
struct DrainRequested
{
    /// What has no outcome by then is ended, so that each request still gets its answer before the process stops.
    TimePoint endsAt = TimePoint::max();
};

} // namespace Fuchsiastep
