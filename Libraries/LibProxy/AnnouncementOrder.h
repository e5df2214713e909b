#pragma once

#include <LibProxy/UpstreamAnnouncement.h>

#include <optional>
#include <string>

namespace Fuchsiastep {

/// Decides which announcements are news. Announcements may arrive seconds late, also those of an earlier start of the
/// upstream, and one that says "ready" must not bring back an upstream that has said that it leaves.
class AnnouncementOrder
{
public:
    /// False for an announcement that is older than what is known. Marks an announcement as draining where its start has
    /// announced before that it leaves.
    bool accept(UpstreamAnnouncement &announcement);
    /// The upstream leaves. False where the start that leaves is not the current one.
    bool acceptDeparture(const std::string &upstreamId, const std::optional<UpstreamLifetime> &lifetime);
    /// An earlier process acknowledged this departure. False where the start that left is older than the current one.
    bool restoreDeparture(const std::string &upstreamId, const std::optional<UpstreamLifetime> &lifetime);

private:
    struct Start
    {
        std::string upstreamId;
        /// Nothing after a departure that named no start and came before any announcement.
        std::optional<UpstreamLifetime> lifetime;
        bool isLeaving = false;
    };

    bool isOlderThanCurrent(const UpstreamAnnouncement &announcement) const;
    bool isOfLeavingStart(const UpstreamAnnouncement &announcement) const;

    std::optional<Start> m_current;
};

} // namespace Fuchsiastep
