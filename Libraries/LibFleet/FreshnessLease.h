#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibCore/Clock.h>
#include <LibFleet/FleetTopicHandlers.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Fuchsiastep {

struct FreshnessSettings
{
    /// A request that is sent later than this after a version took its key away must not run.
    Duration revocationTime = std::chrono::seconds(5);

    /// Keys are honoured for this long after the moment at which the version held was known to be the newest. The rest of the
    /// revocation time is for watches of the platform that hear nothing of a change for a second.
    Duration leaseTime() const
    {
        constexpr double Share = 0.6;
        return scaled(revocationTime, Share);
    }
    /// Requests that were accepted under the lease may start until this long after that moment.
    Duration startTime() const
    {
        constexpr double Share = 0.9;
        return scaled(revocationTime, Share);
    }
};

/// How long a proxy may trust its configuration about keys. It has to know that its version was the newest one in the
/// platform a short while ago; a proxy that was frozen or cut off does not. All times are on the clock that counts suspensions.
class FreshnessLease
{
public:
    FreshnessLease(FreshnessSettings settings, const Clock &clock);

    /// The version that decides about keys here.
    void hold(ConfigurationVersion version);
    /// \a newest was the newest version at \a knownAtMs or later.
    void note(ConfigurationVersion newest, std::uint64_t knownAtMs);

    bool isValid() const;
    /// Until the lease ends; 0 where it has ended.
    Duration left() const;
    /// When a request that is accepted now may start at the latest, in milliseconds.
    std::uint64_t startsBeforeMs() const;

    /// Passes on what this proxy knows. Reports answer the time of the last reply, so that the coordinator can date them: what
    /// a report says was true after the coordinator wrote that reply.
    FleetTopicHandlers topic();

private:
    /// The latest moment at which the version held was the newest; 0 for never.
    std::uint64_t knownAtMs() const;
    std::uint64_t now() const;
    std::string encodeKnowledge(std::uint64_t stamp, std::uint64_t stampAgeMs) const;
    void acceptReport(std::string_view content);
    void acceptReply(FleetReportTime reported, std::string_view content);

    FreshnessSettings m_settings;
    const Clock &m_clock;
    ConfigurationVersion m_held = 0;
    /// Latest moment at which each version was known to be the newest.
    std::map<ConfigurationVersion, std::uint64_t> m_known;
    /// The coordinator's time in its last reply, and when that arrived here.
    std::uint64_t m_stamp = 0;
    std::uint64_t m_stampArrivedMs = 0;
};

} // namespace Fuchsiastep
