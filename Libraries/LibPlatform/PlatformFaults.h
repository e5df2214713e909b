#pragma once

#include <LibCore/Random.h>
#include <LibPlatform/PlatformFaultPlan.h>
#include <LibPlatform/PlatformFaultSettings.h>
#include <LibPlatform/PlatformStore.h>

namespace Fuchsiastep {

/// Decides from a seed which fault each call to the platform stand-in meets.
class PlatformFaults
{
public:
    explicit PlatformFaults(std::uint64_t seed) : m_random(seed)
    { }

    void setSettings(const PlatformFaultSettings &settings)
    {
        m_settings = settings;
    }
    const PlatformFaultSettings &settings() const
    {
        return m_settings;
    }

    PlatformFaultPlan planFor(const PlatformRequest &request);
    /// Whether the stand-in is down at the moment of the effect, which may be later than planFor().
    bool isDown() const
    {
        return m_settings.isDown;
    }
    /// The revision that a stale read of \a store shows.
    std::uint64_t staleRevisionOf(const PlatformStore &store) const;

private:
    PlatformFaultSettings m_settings;
    Random m_random;
};

} // namespace Fuchsiastep
