#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/ConfigurationDelta.h>

#include <cstddef>
#include <deque>
#include <optional>

namespace Fuchsiastep {

/// Owns the configuration that a proxy has in force. It never moves to a lower version, and always moves as a whole.
class ConfigurationHolder
{
public:
    ConfigurationHolder();

    const Configuration::Pointer &current() const;

    /// Fails with VersionTooLow, BaseMismatch, DigestMismatch or DanglingReference and then changes nothing.
    Result<Done> tryApplyDelta(const ConfigurationDelta &delta);
    /// Fails with VersionTooLow and then changes nothing.
    Result<Done> tryAdopt(const Configuration::Pointer &configuration);

    /// Takes another content of the version held. The platform gives the number of a version out again where it lost the
    /// version. Fails with VersionTooLow and then changes nothing.
    Result<Done> tryReplace(const Configuration::Pointer &configuration);

    /// One merged delta from a version held earlier to the current one, from the recent deltas that are kept.
    /// Nothing where \a version with \a digest is not among them.
    std::optional<ConfigurationDelta> deltaFrom(ConfigurationVersion version, const Digest &digest) const;

    /// Number and encoded size of the deltas that are kept.
    std::size_t recentDeltaCount() const;
    std::size_t recentDeltaBytes() const;

    static constexpr std::size_t MaximumRecentDeltas = 512;
    /// A merged delta is no longer than its parts, so that it fits one frame.
    static constexpr std::size_t MaximumRecentBytes = 512 * 1024;

private:
    struct RecentDelta
    {
        ConfigurationDelta delta;
        std::size_t bytes = 0;
    };

    void take(const Configuration::Pointer &configuration);
    void remember(const ConfigurationDelta &delta);

    Configuration::Pointer m_current;
    std::deque<RecentDelta> m_recentDeltas;
    std::size_t m_recentBytes = 0;
};

} // namespace Fuchsiastep
