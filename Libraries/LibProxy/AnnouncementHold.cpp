#include <LibProxy/AnnouncementHold.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Fuchsiastep {

/// Starts that are held. Other writers may name any number of them.
static constexpr std::size_t MaximumHeld = 8;

std::string_view holdReasonName(HoldReason reason)
{
    static constexpr std::array<std::string_view, 3> Names {"none", "service_unknown", "departures_unknown"};
    return Names.at(static_cast<std::size_t>(reason));
}

static bool isSameStartAndService(const UpstreamAnnouncement &left, const UpstreamAnnouncement &right)
{
    return left.isSameStart(right) && left.service == right.service;
}

AnnouncementHold::AnnouncementHold(std::string ownService, Duration interval) : m_ownService(std::move(ownService)), m_interval(interval)
{ }

HoldReason AnnouncementHold::admit(const UpstreamAnnouncement &announcement, TimePoint now)
{
    if (!announcement.lifetime) {
        return HoldReason::None;
    }
    HoldReason reason = reasonFor(announcement);
    if (reason != HoldReason::None) {
        const std::optional<Held> earlier = hold(announcement, now);
        if (reason == HoldReason::DeparturesUnknown && earlier && isConfirmed(announcement, *earlier, now)) {
            m_areDeparturesKnown = true;
            // What else is held announces itself again if it serves.
            (void)takeReady();
            reason = HoldReason::None;
        }
    }
    if (reason == HoldReason::None) {
        m_passed = announcement;
    }
    return reason;
}

bool AnnouncementHold::isConfirmed(const UpstreamAnnouncement &announcement, const Held &earlier, TimePoint now) const
{
    // Announcements that were delayed by the same cut arrive together; those of an upstream that serves arrive at intervals.
    if (announcement.lifetime->sequence <= earlier.announcement.lifetime->sequence || now - earlier.firstHeldAt < m_interval / 2) {
        return false;
    }
    // A later start that goes on announcing itself is the one at the address.
    return std::none_of(m_held.begin(), m_held.end(), [&](const Held &held) {
        return held.announcement.lifetime->startedUnixMs > announcement.lifetime->startedUnixMs && isServiceKnown(held.announcement)
            && now - held.lastHeldAt < m_interval * 3 / 2;
    });
}

std::optional<AnnouncementHold::Held> AnnouncementHold::hold(const UpstreamAnnouncement &announcement, TimePoint now)
{
    const auto known = std::find_if(
        m_held.begin(), m_held.end(), [&](const Held &held) { return isSameStartAndService(held.announcement, announcement); });
    if (known == m_held.end()) {
        if (m_held.size() == MaximumHeld) {
            m_held.erase(m_held.begin());
        }
        m_held.push_back({announcement, now, now});
        return {};
    }
    Held earlier = *known;
    known->lastHeldAt = now;
    if (announcement.lifetime->sequence > earlier.announcement.lifetime->sequence) {
        known->announcement = announcement;
    }
    // That the start leaves holds whatever arrives after it, or arrived before.
    known->announcement.isDraining = announcement.isDraining || earlier.announcement.isDraining;
    return earlier;
}

bool AnnouncementHold::isServiceKnown(const UpstreamAnnouncement &announcement) const
{
    if (m_passed && isSameStartAndService(*m_passed, announcement)) {
        return true;
    }
    if (!m_configuration) {
        return m_ownService.empty() || m_ownService == announcement.service;
    }
    return m_configuration->service(announcement.service) != nullptr;
}

HoldReason AnnouncementHold::reasonFor(const UpstreamAnnouncement &announcement) const
{
    if (!isServiceKnown(announcement)) {
        return HoldReason::ServiceUnknown;
    }
    return m_areDeparturesKnown || announcement.isDraining ? HoldReason::None : HoldReason::DeparturesUnknown;
}

std::vector<UpstreamAnnouncement> AnnouncementHold::releaseDepartures()
{
    m_areDeparturesKnown = true;
    return takeReady();
}

std::vector<UpstreamAnnouncement> AnnouncementHold::setConfiguration(Configuration::Pointer configuration)
{
    m_configuration = std::move(configuration);
    return takeReady();
}

std::optional<std::int64_t> AnnouncementHold::latestStartOf(const std::string &upstreamId) const
{
    std::optional<std::int64_t> latest;
    for (const Held &held : m_held) {
        if (held.announcement.upstreamId == upstreamId) {
            latest = std::max(latest.value_or(0), held.announcement.lifetime->startedUnixMs);
        }
    }
    return latest;
}

bool AnnouncementHold::isWaitingForDepartures() const
{
    return std::any_of(
        m_held.begin(), m_held.end(), [this](const Held &held) { return reasonFor(held.announcement) == HoldReason::DeparturesUnknown; });
}

std::vector<UpstreamAnnouncement> AnnouncementHold::takeReady()
{
    std::vector<UpstreamAnnouncement> ready;
    std::erase_if(m_held, [&](Held &held) {
        if (reasonFor(held.announcement) != HoldReason::None) {
            return false;
        }
        ready.push_back(std::move(held.announcement));
        return true;
    });
    std::stable_sort(ready.begin(), ready.end(), [](const UpstreamAnnouncement &left, const UpstreamAnnouncement &right) {
        return left.lifetime->startedUnixMs < right.lifetime->startedUnixMs;
    });
    if (!ready.empty()) {
        m_passed = ready.back();
    }
    return ready;
}

} // namespace Fuchsiastep
