#pragma once

#include <LibCore/Clock.h>
#include <LibProxy/UpstreamAnnouncement.h>

#include <optional>

namespace Fuchsiastep {

/// Holds announcements back while a starting proxy does not know which departure its earlier processes acknowledged: an
/// announcement that was sent before a departure may arrive after the restart. A second announcement of the same start, at
/// least half an interval later, passes without that knowledge, since an upstream that serves keeps announcing itself.
class AnnouncementHold
{
public:
    /// \a interval is the time between two announcements of an upstream.
    explicit AnnouncementHold(Duration interval);

    /// False where \a announcement is held back. An announcement that cannot be late, or that says that the upstream leaves,
    /// never is.
    bool mayPass(const UpstreamAnnouncement &announcement, TimePoint now);

    /// The departures are known. Returns the announcement that is held, and holds back no other.
    std::optional<UpstreamAnnouncement> release();

private:
    bool isConfirmed(const UpstreamAnnouncement &announcement, TimePoint now) const;

    Duration m_interval;
    bool m_isReleased = false;
    /// The latest announcement that is held, and when the first one of its start arrived.
    std::optional<UpstreamAnnouncement> m_held;
    TimePoint m_firstHeldAt;
};

} // namespace Fuchsiastep
