#include <LibProxy/AnnouncementHold.h>

#include <utility>

namespace Fuchsiastep {

AnnouncementHold::AnnouncementHold(Duration interval) : m_interval(interval)
{ }

bool AnnouncementHold::mayPass(const UpstreamAnnouncement &announcement, TimePoint now)
{
    if (m_isReleased || !announcement.lifetime || announcement.isDraining) {
        return true;
    }
    if (isConfirmed(announcement, now)) {
        (void)release();
        return true;
    }
    const bool isSameStart = m_held && m_held->isSameStart(announcement);
    if (isSameStart && announcement.lifetime->sequence < m_held->lifetime->sequence) {
        return false;
    }
    if (m_held && !isSameStart && announcement.lifetime->startedUnixMs < m_held->lifetime->startedUnixMs) {
        return false;
    }
    if (!isSameStart) {
        m_firstHeldAt = now;
    }
    m_held = announcement;
    return false;
}

bool AnnouncementHold::isConfirmed(const UpstreamAnnouncement &announcement, TimePoint now) const
{
    // Announcements that were delayed by the same cut arrive together; those of an upstream that serves arrive at intervals.
    return m_held && m_held->isSameStart(announcement) && announcement.lifetime->sequence > m_held->lifetime->sequence
        && now - m_firstHeldAt >= m_interval / 2;
}

std::optional<UpstreamAnnouncement> AnnouncementHold::release()
{
    m_isReleased = true;
    return std::exchange(m_held, std::nullopt);
}

} // namespace Fuchsiastep
