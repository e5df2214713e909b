#include <LibProxy/AnnouncementOrder.h>

#include <algorithm>

namespace Fuchsiastep {

/// Starts that are remembered. Other writers may name any number of them.
static constexpr std::size_t MaximumStarts = 16;
static constexpr std::size_t MaximumDepartures = 16;

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

static bool includes(const UpstreamDeparted &departed, const std::string &upstreamId, std::int64_t startedUnixMs)
{
    if (departed.upstreamId != upstreamId) {
        return false;
    }
    return departed.startedUnixMs ? *departed.startedUnixMs == startedUnixMs : startedUnixMs <= departed.latestStartUnixMs;
}

bool AnnouncementOrder::hasLeft(const Start &start) const
{
    return std::any_of(m_departures.begin(), m_departures.end(), [&](const UpstreamDeparted &departed) {
        return includes(departed, start.upstreamId, start.startedUnixMs);
    });
}

void AnnouncementOrder::add(const UpstreamDeparted &departed)
{
    if (m_departures.size() == MaximumDepartures) {
        m_departures.erase(m_departures.begin());
    }
    m_departures.push_back(departed);
    for (Start &start : m_starts) {
        start.isLeaving = start.isLeaving || includes(departed, start.upstreamId, start.startedUnixMs);
    }
}

bool AnnouncementOrder::accept(UpstreamAnnouncement &announcement, TimePoint now)
{
    if (!announcement.lifetime) {
        return true;
    }
    Start &start = findOrAdd(announcement.upstreamId, announcement.lifetime->startedUnixMs);
    const bool isLate = start.sequence && announcement.lifetime->sequence <= *start.sequence;
    // That the start leaves holds whatever arrived before. Its number may be lower than that of a report of another writer.
    const bool isNewsOfLeaving = announcement.isDraining && !start.isLeaving;
    if (isLate && !isNewsOfLeaving) {
        return false;
    }
    start.sequence = std::max(start.sequence.value_or(0), announcement.lifetime->sequence);
    start.heardAt = now;
    start.isLeaving = start.isLeaving || announcement.isDraining || hasLeft(start);
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
    return true;
}

UpstreamDeparted AnnouncementOrder::acceptDeparture(
    const std::string &upstreamId, const std::optional<UpstreamLifetime> &lifetime, std::int64_t unixMs)
{
    UpstreamDeparted departed {upstreamId, std::nullopt, unixMs};
    if (lifetime) {
        departed.startedUnixMs = lifetime->startedUnixMs;
    } else {
        // The start that leaves may not have been heard yet. One that has said before that it leaves is the one that is meant.
        const Start *latest = nullptr;
        for (const Start &start : m_starts) {
            if (start.upstreamId == upstreamId && (latest == nullptr || start.startedUnixMs > latest->startedUnixMs)) {
                latest = &start;
            }
        }
        if (latest != nullptr && latest->isLeaving) {
            departed.startedUnixMs = latest->startedUnixMs;
        } else if (latest != nullptr) {
            departed.latestStartUnixMs = std::max(unixMs, latest->startedUnixMs);
        }
    }
    if (departed.startedUnixMs) {
        departed.latestStartUnixMs = 0;
    }
    add(departed);
    if (m_current == nullptr && departed.startedUnixMs) {
        m_current = &findOrAdd(upstreamId, *departed.startedUnixMs);
        m_current->isLeaving = true;
    }
    return departed;
}

void AnnouncementOrder::restoreDeparture(const UpstreamDeparted &departed)
{
    add(departed);
    if (!departed.startedUnixMs || (m_current != nullptr && *departed.startedUnixMs <= m_current->startedUnixMs)) {
        return;
    }
    m_current = &findOrAdd(departed.upstreamId, *departed.startedUnixMs);
    m_current->isLeaving = true;
}

bool AnnouncementOrder::isCurrentLeaving() const
{
    return m_current != nullptr && m_current->isLeaving;
}

} // namespace Fuchsiastep
