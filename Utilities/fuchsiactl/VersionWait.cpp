#include <fuchsiactl/VersionWait.h>

#include <algorithm>

namespace Fuchsiastep::ControlTool {

void VersionWait::seeMembers(std::vector<Member> members)
{
    m_live = std::move(members);
    std::erase_if(m_live, [](const Member &member) { return !member.isLive(); });
    std::set<std::string> stillLive;
    for (const Member &member : m_live) {
        stillLive.insert(member.proxy);
        if (member.version >= m_version) {
            m_holders.insert(member.proxy);
        }
    }
    // A proxy that is gone and returns under the same name starts with no configuration.
    std::erase_if(m_holders, [&stillLive](const std::string &proxy) { return !stillLive.contains(proxy); });
}

void VersionWait::seeStatus(const MemberStatus &status)
{
    if (status.version >= m_version) {
        m_holders.insert(status.proxy);
    }
}

std::vector<Member> VersionWait::pending() const
{
    std::vector<Member> members;
    std::copy_if(m_live.begin(), m_live.end(), std::back_inserter(members), [this](const Member &member) {
        return !m_holders.contains(member.proxy);
    });
    return members;
}

bool VersionWait::isOver() const
{
    return !m_live.empty()
        && std::all_of(m_live.begin(), m_live.end(), [this](const Member &member) { return m_holders.contains(member.proxy); });
}

std::size_t VersionWait::liveCount() const
{
    return m_live.size();
}

} // namespace Fuchsiastep::ControlTool
