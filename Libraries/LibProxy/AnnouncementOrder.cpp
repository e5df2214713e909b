#include <LibProxy/AnnouncementOrder.h>

namespace Fuchsiastep {

/// A start that has announced itself no more often than this is newer than a departure that named no start. An upstream
/// announces itself about once a second and never leaves that early, while its first announcements may arrive out of order.
static constexpr std::uint64_t FreshStartSequence = 3;

bool AnnouncementOrder::isOlderThanCurrent(const UpstreamAnnouncement &announcement) const
{
    if (!m_current || !m_current->lifetime) {
        return false;
    }
    const UpstreamLifetime &current = *m_current->lifetime;
    if (announcement.lifetime->startedUnixMs != current.startedUnixMs) {
        return announcement.lifetime->startedUnixMs < current.startedUnixMs;
    }
    return announcement.upstreamId == m_current->upstreamId && announcement.lifetime->sequence <= current.sequence;
}

bool AnnouncementOrder::isOfLeavingStart(const UpstreamAnnouncement &announcement) const
{
    if (!m_current || !m_current->isLeaving || m_current->upstreamId != announcement.upstreamId) {
        return false;
    }
    if (!m_current->lifetime) {
        return announcement.lifetime->sequence > FreshStartSequence;
    }
    return announcement.lifetime->startedUnixMs == m_current->lifetime->startedUnixMs;
}

bool AnnouncementOrder::accept(UpstreamAnnouncement &announcement)
{
    if (!announcement.lifetime) {
        return true;
    }
    if (isOlderThanCurrent(announcement)) {
        return false;
    }
    announcement.isDraining = announcement.isDraining || isOfLeavingStart(announcement);
    m_current = Start {announcement.upstreamId, announcement.lifetime, announcement.isDraining};
    return true;
}

bool AnnouncementOrder::acceptDeparture(const std::string &upstreamId, const std::optional<UpstreamLifetime> &lifetime)
{
    if (!m_current) {
        // The proxy has started after the upstream. A late announcement of the same start must not bring it back.
        m_current = Start {upstreamId, lifetime, true};
        return true;
    }
    const bool isOtherStart = lifetime && m_current->lifetime && lifetime->startedUnixMs != m_current->lifetime->startedUnixMs;
    if (m_current->upstreamId != upstreamId || isOtherStart) {
        return false;
    }
    m_current->isLeaving = true;
    return true;
}

bool AnnouncementOrder::restoreDeparture(const std::string &upstreamId, const std::optional<UpstreamLifetime> &lifetime)
{
    const bool isNewer = m_current && m_current->lifetime && lifetime && lifetime->startedUnixMs > m_current->lifetime->startedUnixMs;
    if (!isNewer) {
        return acceptDeparture(upstreamId, lifetime);
    }
    m_current = Start {upstreamId, lifetime, true};
    return true;
}

} // namespace Fuchsiastep
