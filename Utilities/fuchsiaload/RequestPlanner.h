#pragma once

#include "LoadSettings.h"
#include "PlannedRequest.h"

namespace Fuchsiastep {

/// Draws requests from a seed.
class RequestPlanner
{
public:
    /// \a runId distinguishes the ids and keys of this run from those of any other.
    RequestPlanner(const LoadSettings &settings, std::string runId);

    /// The next request, or the two of a repeated order.
    std::vector<PlannedRequest> next();

private:
    const LoadSettings &m_settings;
    std::string m_runId;
    Random m_random;
    std::uint64_t m_number = 0;
};

} // namespace Fuchsiastep
