#include <LibProxy/WorkspaceQuotas.h>

#include <algorithm>

namespace Fuchsiastep {

std::optional<AllowanceLimit> quotaOf(const Workspace &workspace)
{
    if (!workspace.hasQuota()) {
        return std::nullopt;
    }
    return AllowanceLimit {workspace.requestsPerSecond(), static_cast<double>(workspace.burst)};
}

static AllowanceBudget::Settings budgetSettings(const AllowanceSettings &quota)
{
    AllowanceBudget::Settings settings;
    settings.quota = quota;
    return settings;
}

WorkspaceQuotas::WorkspaceQuotas(
    const AllowanceSettings &settings, std::function<std::size_t()> memberCount, const Clock &clock, Random &random)
    : m_memberCount(std::move(memberCount))
    , m_budget(budgetSettings(settings), clock, random)
    , m_coordinator(
          settings,
          [this](const std::string &name) -> std::optional<AllowanceLimit> {
              const std::shared_ptr<const Workspace> workspace = m_configuration->workspace(name);
              return workspace != nullptr ? quotaOf(*workspace) : std::nullopt;
          },
          clock)
{ }

void WorkspaceQuotas::setConfiguration(Configuration::Pointer configuration)
{
    m_configuration = std::move(configuration);
    const auto workspaces = m_configuration->workspaces();
    m_isInUse = std::any_of(workspaces.begin(), workspaces.end(), [](const auto &workspace) { return workspace->hasQuota(); });
}

FleetTopicHandlers WorkspaceQuotas::topic(const std::function<void(std::vector<AllowanceDecision>)> &onDecisions)
{
    FleetTopicHandlers handlers;
    handlers.topic = FleetTopic::Allowances;
    handlers.isInUse = [this] {
        return m_isInUse;
    };
    handlers.report = [this] {
        return report();
    };
    handlers.answer = [this](const std::string &member, std::string_view content) {
        return answer(member, content);
    };
    handlers.acceptReply = [this, onDecisions](FleetReportTime reported, std::string_view content) {
        const auto grants = tryDecodeAllowanceGrants(content);
        onDecisions(m_budget.accept(reported, isError(grants) ? std::vector<AllowanceGrant>() : valueOf(grants)));
    };
    handlers.reportToDataCentre = [this](const std::string &) {
        return encodeAllowances(m_coordinator.shortfalls());
    };
    handlers.answerDataCentre = [this](const std::string &, std::string_view content) {
        const auto wanted = tryDecodeAllowanceLoans(content);
        return isError(wanted) ? std::string() : encodeAllowances(m_coordinator.lend(valueOf(wanted)));
    };
    handlers.acceptDataCentreReply = [this](const std::string &, FleetReportTime, std::string_view content) {
        const auto loans = tryDecodeAllowanceLoans(content);
        if (!isError(loans)) {
            m_coordinator.borrow(valueOf(loans));
        }
    };
    return handlers;
}

std::string WorkspaceQuotas::report()
{
    m_budget.setMemberCount(m_memberCount());
    return encodeAllowances(m_budget.report());
}

std::string WorkspaceQuotas::answer(const std::string &member, std::string_view content)
{
    const auto demands = tryDecodeAllowanceDemands(content);
    if (isError(demands)) {
        return {};
    }
    const std::string grants = encodeAllowances(m_coordinator.answer(member, valueOf(demands), m_memberCount()));
    // Members have to know that their coordinator answers, also where they asked for nothing.
    return grants.empty() ? encodeAllowances(std::vector<AllowanceGrant> {AllowanceGrant {}}) : grants;
}

} // namespace Fuchsiastep
