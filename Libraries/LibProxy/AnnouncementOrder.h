#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/LibMembership.h>
#include <LibProxy/UpstreamAnnouncement.h>

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Decides which start of an upstream is the one at the address. Announcements may arrive seconds late, also those of an
/// earlier start, and one that says "ready" must not bring back an upstream that has said that it leaves. A later start takes
/// the place of the current one at once. Any other start takes it only by continuing to announce itself while the current one
/// is silent, so that neither one announcement of another writer nor a clock that was ahead keeps an upstream out.
class AnnouncementOrder
{
public:
    /// \a interval is the time between two announcements of an upstream.
    explicit AnnouncementOrder(Duration interval);

    /// False for an announcement that is older than what is known. Marks an announcement as draining where its start has
    /// announced before that it leaves.
    bool accept(UpstreamAnnouncement &announcement, TimePoint now);
    /// The upstream leaves, and this is acknowledged at \a unixMs. Returns what other members have to know of it. It binds also
    /// the announcements of this start that have not arrived, or have not been accepted, yet.
    UpstreamDeparted acceptDeparture(const std::string &upstreamId, const std::optional<UpstreamLifetime> &lifetime, std::int64_t unixMs);
    /// An earlier process acknowledged this departure.
    void restoreDeparture(const UpstreamDeparted &departed);
    /// The upstream at the address has said that it leaves.
    bool isCurrentLeaving() const;

private:
    struct Start
    {
        std::string upstreamId;
        std::int64_t startedUnixMs = 0;
        /// The highest one; nothing for a start that is only known to have left.
        std::optional<std::uint64_t> sequence;
        bool isLeaving = false;
        /// Another start that went on announcing itself took the place of this one.
        bool wasDisplaced = false;
        std::optional<TimePoint> heardAt;
        /// The first announcement since the current start was heard last, while this one is not the current one.
        std::optional<TimePoint> contendsSince;
    };

    Start &findOrAdd(const std::string &upstreamId, std::int64_t startedUnixMs);
    void forgetOldStarts();
    bool mayBecomeCurrent(Start &start, TimePoint now);
    bool hasLeft(const Start &start) const;
    void add(const UpstreamDeparted &departed);

    Duration m_interval;
    /// The last ones to be added are at the end.
    std::list<Start> m_starts;
    /// Points into m_starts.
    Start *m_current = nullptr;
    /// The last ones to be acknowledged are at the end.
    std::vector<UpstreamDeparted> m_departures;
};

} // namespace Fuchsiastep
