#pragma once

#include <LibCore/Clock.h>
#include <LibProxy/UpstreamAnnouncement.h>

#include <cstdint>
#include <list>
#include <optional>
#include <string>

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
    /// The upstream leaves. False where the start that leaves is not the current one.
    bool acceptDeparture(const std::string &upstreamId, const std::optional<UpstreamLifetime> &lifetime);
    /// An earlier process acknowledged this departure. False where the start that left is older than the current one.
    bool restoreDeparture(const std::string &upstreamId, const std::optional<UpstreamLifetime> &lifetime);

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
    bool isOfLeavingStart(const UpstreamAnnouncement &announcement, const Start &start) const;

    Duration m_interval;
    /// The last ones to be added are at the end.
    std::list<Start> m_starts;
    /// Points into m_starts.
    Start *m_current = nullptr;
    /// The upstream of a departure that named no start and came before any announcement.
    std::optional<std::string> m_departedWithoutStart;
};

} // namespace Fuchsiastep
