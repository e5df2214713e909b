#include <LibProxy/AnnouncementOrder.h>

namespace Fuchsiastep {

bool AnnouncementOrder::accept(UpstreamAnnouncement &announcement)
{
    if (!announcement.lifetime) {
        return true;
    }
    const UpstreamLifetime &lifetime = *announcement.lifetime;
    if (m_current && lifetime.startedUnixMs < m_current->lifetime.startedUnixMs) {
        return false;
    }
    const bool isSameStart =
        m_current && m_current->upstreamId == announcement.upstreamId && lifetime.startedUnixMs == m_current->lifetime.startedUnixMs;
    if (isSameStart && lifetime.sequence <= m_current->lifetime.sequence) {
        return false;
    }
    announcement.isDraining = announcement.isDraining || (isSameStart && m_current->isLeaving);
    m_current = Start {announcement.upstreamId, lifetime, announcement.isDraining};
    return true;
}

bool AnnouncementOrder::acceptDeparture(const std::string &upstreamId, const std::optional<UpstreamLifetime> &lifetime)
{
    const bool isOther =
        m_current && (m_current->upstreamId != upstreamId || (lifetime && lifetime->startedUnixMs != m_current->lifetime.startedUnixMs));
    if (isOther) {
        return false;
    }
    if (!m_current) {
        // The proxy has started after the upstream. A late announcement of the same start must not bring it back.
        m_current = Start {upstreamId, lifetime.value_or(UpstreamLifetime {}), true};
    }
    m_current->isLeaving = true;
    return true;
}

} // namespace Fuchsiastep
