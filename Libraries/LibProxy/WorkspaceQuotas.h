#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibFleet/LibFleet.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Both sides of the quotas of workspaces in one proxy: the tokens that it holds, and the buckets from which it grants
/// tokens while it is the coordinator of its data centre.
class WorkspaceQuotas
{
public:
    /// \a memberCount: live members of the data centre, this proxy included.
    WorkspaceQuotas(const AllowanceSettings &settings, std::function<std::size_t()> memberCount, const Clock &clock, Random &random);

    /// The quotas in force.
    void setConfiguration(Configuration::Pointer configuration);

    AllowanceBudget &budget()
    {
        return m_budget;
    }

    /// \a onDecisions gets what became of requests that waited for tokens.
    FleetTopicHandlers topic(const std::function<void(std::vector<AllowanceDecision>)> &onDecisions);

private:
    std::string report();
    std::string answer(const std::string &member, std::string_view content);

    std::function<std::size_t()> m_memberCount;
    Configuration::Pointer m_configuration = Configuration::empty();
    bool m_isInUse = false;
    AllowanceBudget m_budget;
    AllowanceCoordinator m_coordinator;
};

/// The quota of a workspace; nothing where it has none.
std::optional<AllowanceLimit> quotaOf(const Workspace &workspace);

} // namespace Fuchsiastep
