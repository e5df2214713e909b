#pragma once

#include <LibConfiguration/Endpoint.h>
#include <LibCore/LibCore.h>

#include <string>
#include <unordered_map>

namespace Fuchsiastep {

/// The share of work that an upstream takes by its age. It rises linearly from \c initialShare to 1.
class ColdStartRamp
{
public:
    struct Settings
    {
        Duration length = std::chrono::seconds(10);
        double initialShare = 0.1;
        /// Upstreams remembered at most; only those within the ramp are.
        std::size_t maximumUpstreams = 32768;
    };

    ColdStartRamp(const Settings &settings, const Clock &clock);

    /// In (0, 1]. The first call for an incarnation takes Endpoint::ageMsWhenSeen as its age at that moment.
    double share(const Endpoint &endpoint);
    void forget(const std::string &upstreamId);

private:
    struct Start
    {
        std::uint64_t incarnation = 0;
        TimePoint at;
    };

    Settings m_settings;
    const Clock &m_clock;
    std::unordered_map<std::string, Start> m_starts;
};

} // namespace Fuchsiastep
