#include <LibProxy/AnnouncementOrder.h>

#include <algorithm>

namespace Fuchsiastep {

/// A start that has announced itself no more often than this is newer than a departure that named no start. An upstream
/// announces itself about once a second and never leaves that early, while its first announcements may arrive out of order.
static constexpr std::uint64_t FreshStartSequence = 3;
/// Starts that are remembered. Other writers may name any number of them.
static constexpr std::size_t MaximumStarts = 16;

AnnouncementOrder::AnnouncementOrder(Duration interval) : m_interval(interval)
{ }

AnnouncementOrder::Start &AnnouncementOrder::findOrAdd(const std::string &upstreamId, std::int64_t startedUnixMs)
{
    const auto known = std::find_if(m_starts.begin(), m_starts.end(), [&](const Start &start) {
        return start.upstreamId == upstreamId && start.startedUnixMs == startedUnixMs;
    });
    if (known != m_starts.end()) {
        return *known;
    }
    forgetOldStarts();
    m_starts.push_back({upstreamId, startedUnixMs, {}, false, false, {}, {}});
    return m_starts.back();
}

void AnnouncementOrder::forgetOldStarts()
{
    if (m_starts.size() < MaximumStarts) {
        return;
    }
    m_starts.erase(std::find_if(m_starts.begin(), m_starts.end(), [this](const Start &start) { return &start != m_current; }));
}

bool AnnouncementOrder::mayBecomeCurrent(Start &start, TimePoint now)
{
    if (m_current == nullptr || m_current == &start) {
        return true;
    }
    if (start.startedUnixMs >= m_current->startedUnixMs && !start.wasDisplaced) {
        return true;
    }
    if (start.isLeaving) {
        return false;
    }
    // An upstream that serves announces itself once an interval, so that a current one which is silent for longer has ended
    // or never was there. Announcements that were delayed together arrive together.
    const Duration silence = m_interval * 3 / 2;
    const Duration gap = m_interval / 2;
    const bool isHeardAnew = !start.contendsSince || (m_current->heardAt && *start.contendsSince <= *m_current->heardAt);
    if (isHeardAnew) {
        start.contendsSince = now;
        return false;
    }
    const bool isCurrentSilent = !m_current->heardAt || now - *m_current->heardAt >= silence;
    return isCurrentSilent && now - *start.contendsSince >= gap;
}

bool AnnouncementOrder::isOfLeavingStart(const UpstreamAnnouncement &announcement, const Start &start) const
{
    if (m_departedWithoutStart == announcement.upstreamId) {
        return announcement.lifetime->sequence > FreshStartSequence;
    }
    return start.isLeaving;
}

bool AnnouncementOrder::accept(UpstreamAnnouncement &announcement, TimePoint now)
{
    if (!announcement.lifetime) {
        return true;
    }
    Start &start = findOrAdd(announcement.upstreamId, announcement.lifetime->startedUnixMs);
    if (start.sequence && announcement.lifetime->sequence <= *start.sequence) {
        return false;
    }
    start.sequence = announcement.lifetime->sequence;
    start.heardAt = now;
    start.isLeaving = announcement.isDraining || isOfLeavingStart(announcement, start);
    announcement.isDraining = start.isLeaving;
    if (!mayBecomeCurrent(start, now)) {
        return false;
    }
    if (m_current != nullptr && m_current != &start) {
        m_current->wasDisplaced = start.startedUnixMs < m_current->startedUnixMs;
        m_current->contendsSince.reset();
    }
    start.wasDisplaced = false;
    m_current = &start;
    m_departedWithoutStart.reset();
    return true;
}

bool AnnouncementOrder::acceptDeparture(const std::string &upstreamId, const std::optional<UpstreamLifetime> &lifetime)
{
    if (m_current == nullptr) {
        // The proxy has started after the upstream. A late announcement of the same start must not bring it back.
        if (lifetime) {
            m_current = &findOrAdd(upstreamId, lifetime->startedUnixMs);
            m_current->isLeaving = true;
        } else {
            m_departedWithoutStart = upstreamId;
        }
        return true;
    }
    const bool isOtherStart = lifetime && lifetime->startedUnixMs != m_current->startedUnixMs;
    if (m_current->upstreamId != upstreamId || isOtherStart) {
        return false;
    }
    m_current->isLeaving = true;
    return true;
}

bool AnnouncementOrder::restoreDeparture(const std::string &upstreamId, const std::optional<UpstreamLifetime> &lifetime)
{
    const bool isNewer = m_current != nullptr && lifetime && lifetime->startedUnixMs > m_current->startedUnixMs;
    if (!isNewer) {
        return acceptDeparture(upstreamId, lifetime);
    }
    m_current = &findOrAdd(upstreamId, lifetime->startedUnixMs);
    m_current->isLeaving = true;
    return true;
}

} // namespace Fuchsiastep
