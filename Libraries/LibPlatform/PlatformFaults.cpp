#include <LibPlatform/PlatformFaults.h>

namespace Fuchsiastep {

PlatformFaultPlan PlatformFaults::planFor(const PlatformRequest &request)
{
    PlatformFaultPlan plan;
    plan.delay = m_settings.delay;
    plan.answerDelay = m_settings.answerDelay;
    plan.isRefused = m_settings.isDown;
    // Every call draws the same numbers, so that one setting does not shift the draws of the others.
    const bool losesRequest = m_random.chance(m_settings.lostRequestProbability);
    const bool losesAnswer = m_random.chance(m_settings.lostAnswerProbability);
    const bool isStale = m_random.chance(m_settings.staleReadProbability);
    const bool isRestored = m_random.chance(m_settings.restoreProbability);
    plan.losesRequest = losesRequest;
    plan.losesAnswer = losesAnswer && isWrite(request);
    plan.isStale = isStale && !isWrite(request);
    plan.isFollowedByRestore = isRestored && isWrite(request);
    return plan;
}

std::uint64_t PlatformFaults::staleRevisionOf(const PlatformStore &store) const
{
    if (m_settings.staleRevisions > 0) {
        return store.lastRevision() - std::min(store.lastRevision(), m_settings.staleRevisions);
    }
    return store.revisionBefore(m_settings.staleAge);
}

} // namespace Fuchsiastep
