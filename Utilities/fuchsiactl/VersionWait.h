#pragma once

#include <fuchsiactl/Member.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Fuchsiastep::ControlTool {

/// Tracks which live members hold a version. A proxy never goes back to an older version, so one that was seen to
/// hold it counts from then on.
class VersionWait
{
public:
    explicit VersionWait(std::uint64_t version) : m_version(version)
    { }

    /// The members as a proxy knows them now.
    void seeMembers(std::vector<Member> members);
    /// A member's own word.
    void seeStatus(const MemberStatus &status);

    /// Live members that are not known to hold the version.
    std::vector<Member> pending() const;
    /// At least one member is live, and all that are live hold the version.
    bool isOver() const;
    std::size_t liveCount() const;

private:
    std::uint64_t m_version;
    std::vector<Member> m_live;
    std::set<std::string> m_holders;
};

} // namespace Fuchsiastep::ControlTool
