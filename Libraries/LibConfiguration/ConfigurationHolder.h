#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/ConfigurationDelta.h>

#include <deque>
#include <optional>

namespace Fuchsiastep {

/// Owns the configuration that a proxy has in force. It only ever moves to higher versions, and always as a whole.
class ConfigurationHolder
{
public:
    ConfigurationHolder();

    const Configuration::Pointer &current() const;

    /// Fails with VersionTooLow, BaseMismatch, DigestMismatch, DanglingReference or ObjectMissing and then changes nothing.
    Result<Done> tryApplyDelta(const ConfigurationDelta &delta);
    /// Fails with VersionTooLow and then changes nothing.
    Result<Done> tryAdopt(const Configuration::Pointer &configuration);

    /// One merged delta from a version held earlier to the current one, from the recent deltas that are kept.
    /// Nothing where \a version with \a digest is not among them.
    std::optional<ConfigurationDelta> deltaFrom(ConfigurationVersion version, const Digest &digest) const;

private:
    Configuration::Pointer m_current;
    std::deque<ConfigurationDelta> m_recentDeltas;
};

} // namespace Fuchsiastep
