#pragma once

#include <LibConfiguration/LibConfiguration.h>
#include <LibCore/Clock.h>
#include <LibProxy/UpstreamAnnouncement.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// Why an announcement has no effect yet.
enum class HoldReason {
    None,
    /// The configuration does not name its service. Another writer may have sent it, so that it must not take the place of the
    /// upstream that is there; or a later version names the service.
    ServiceUnknown,
    /// The departures that earlier processes acknowledged are not known.
    DeparturesUnknown,
};

std::string_view holdReasonName(HoldReason reason);

/// Holds back announcements that must not take effect yet, one for each start of an upstream.
///
/// A starting proxy does not know which departure its earlier processes acknowledged: an announcement that was sent before a
/// departure may arrive after the restart. A second announcement of the same start, at least half an interval later, passes
/// without that knowledge, since an upstream that serves keeps announcing itself.
///
/// An announcement without a lifetime is never held back: it comes from the upstream itself, by the project's own protocol.
class AnnouncementHold
{
public:
    /// \a interval is the time between two announcements of an upstream. Before there is a configuration, \a ownService is the
    /// only service that counts as known; all do where it is empty.
    AnnouncementHold(std::string ownService, Duration interval);

    /// Holds \a announcement back unless the result is HoldReason::None.
    HoldReason admit(const UpstreamAnnouncement &announcement, TimePoint now);

    /// The departures are known. Returns the announcements that pass now, those of later starts last.
    std::vector<UpstreamAnnouncement> releaseDepartures();
    /// \a configuration is in force. Returns the announcements that pass now, those of later starts last.
    std::vector<UpstreamAnnouncement> setConfiguration(Configuration::Pointer configuration);
    /// Unix milliseconds of the latest start of the upstream that is held.
    std::optional<std::int64_t> latestStartOf(const std::string &upstreamId) const;
    /// Some announcements wait for the departures.
    bool isWaitingForDepartures() const;

private:
    struct Held
    {
        /// The one with the highest sequence.
        UpstreamAnnouncement announcement;
        TimePoint firstHeldAt;
        TimePoint lastHeldAt;
    };

    bool isServiceKnown(const UpstreamAnnouncement &announcement) const;
    /// Returns the entry as it was before.
    std::optional<Held> hold(const UpstreamAnnouncement &announcement, TimePoint now);
    bool isConfirmed(const UpstreamAnnouncement &announcement, const Held &earlier, TimePoint now) const;
    HoldReason reasonFor(const UpstreamAnnouncement &announcement) const;
    std::vector<UpstreamAnnouncement> takeReady();

    std::string m_ownService;
    Duration m_interval;
    /// Nothing before the first configuration.
    Configuration::Pointer m_configuration;
    bool m_areDeparturesKnown = false;
    /// The last start that passed. It stays known where a later version drops its service.
    std::optional<UpstreamAnnouncement> m_passed;
    std::vector<Held> m_held;
};

} // namespace Fuchsiastep
