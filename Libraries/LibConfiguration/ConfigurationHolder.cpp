#include <LibConfiguration/ConfigurationHolder.h>

namespace Fuchsiastep {

ConfigurationHolder::ConfigurationHolder() : m_current(Configuration::empty())
{ }

const Configuration::Pointer &ConfigurationHolder::current() const
{
    return m_current;
}

static Error versionTooLow(ConfigurationVersion offered, ConfigurationVersion held)
{
    return {ErrorCode::VersionTooLow, "version " + std::to_string(offered) + " is not above version " + std::to_string(held)};
}

Result<Done> ConfigurationHolder::tryApplyDelta(const ConfigurationDelta &delta)
{
    if (delta.targetVersion <= m_current->version()) {
        return versionTooLow(delta.targetVersion, m_current->version());
    }
    Result<Configuration::Pointer> applied = m_current->tryApply(delta);
    if (isError(applied)) {
        return errorOf(applied);
    }
    m_current = valueOf(std::move(applied));
    remember(delta);
    return Done {};
}

Result<Done> ConfigurationHolder::tryAdopt(const Configuration::Pointer &configuration)
{
    if (configuration->version() <= m_current->version()) {
        return versionTooLow(configuration->version(), m_current->version());
    }
    take(configuration);
    return Done {};
}

Result<Done> ConfigurationHolder::tryReplace(const Configuration::Pointer &configuration)
{
    if (configuration->version() != m_current->version() || configuration->digest() == m_current->digest()) {
        return versionTooLow(configuration->version(), m_current->version());
    }
    take(configuration);
    return Done {};
}

void ConfigurationHolder::take(const Configuration::Pointer &configuration)
{
    m_current = configuration;
    // No delta leads to this version, so the earlier ones lead nowhere.
    m_recentDeltas.clear();
    m_recentBytes = 0;
}

void ConfigurationHolder::remember(const ConfigurationDelta &delta)
{
    m_recentDeltas.push_back({delta, delta.encode().size()});
    m_recentBytes += m_recentDeltas.back().bytes;
    while (m_recentDeltas.size() > MaximumRecentDeltas || m_recentBytes > MaximumRecentBytes) {
        m_recentBytes -= m_recentDeltas.front().bytes;
        m_recentDeltas.pop_front();
    }
}

std::optional<ConfigurationDelta> ConfigurationHolder::deltaFrom(ConfigurationVersion version, const Digest &digest) const
{
    std::vector<const ConfigurationDelta *> chain;
    for (const RecentDelta &recent : m_recentDeltas) {
        const bool isStart = recent.delta.baseVersion == version && recent.delta.baseDigest == digest;
        if (isStart || !chain.empty()) {
            chain.push_back(&recent.delta);
        }
    }
    if (chain.empty()) {
        return std::nullopt;
    }
    Result<ConfigurationDelta> merged = ConfigurationDelta::tryMergeChain(chain);
    return isError(merged) ? std::nullopt : std::optional(valueOf(std::move(merged)));
}

std::size_t ConfigurationHolder::recentDeltaCount() const
{
    return m_recentDeltas.size();
}

std::size_t ConfigurationHolder::recentDeltaBytes() const
{
    return m_recentBytes;
}

} // namespace Fuchsiastep
