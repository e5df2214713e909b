#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/DistributorMessages.h>
#include <LibMembership/DistributorSettings.h>
#include <LibMembership/MembershipTable.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Makes sure that other members hold a delta before the reader that found it adopts it. The members asked are the
/// first in the order of readers, which is where a restarted proxy asks for the newest version.
class HoldStep
{
public:
    HoldStep(const DistributorSettings &settings, const MembershipTable &table, ConfigurationDelta delta, TimePoint now);

    const ConfigurationDelta &delta() const
    {
        return m_delta;
    }
    const ConfigurationPushFrame &push() const
    {
        return m_push;
    }
    /// Asks as many further members as are needed at \a now.
    std::vector<DistributorOutput> advance(TimePoint now);
    /// \a peer holds \a version or a later one.
    void acknowledged(const std::string &peer, ConfigurationVersion version);
    /// True where enough members hold the delta, or where the time is over.
    bool isFinished(TimePoint now) const;
    TimePoint nextDeadline() const;

private:
    std::size_t wantedHolders() const;

    const DistributorSettings &m_settings;
    const MembershipTable &m_table;
    ConfigurationDelta m_delta;
    ConfigurationPushFrame m_push;
    std::set<std::string> m_asked;
    std::set<std::string> m_holders;
    TimePoint m_deadline;
    TimePoint m_nextAsk;
};

/// The frame that carries \a delta, with an empty range.
ConfigurationPushFrame pushFrame(const ConfigurationDelta &delta);

} // namespace Fuchsiastep
