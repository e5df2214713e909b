#include <LibMembership/IsolationWatch.h>

namespace Fuchsiastep {

/// Answers from this many peers show that a loss of most others is no isolation of this proxy.
static constexpr std::size_t WitnessesOfRealLoss = 2;

void IsolationWatch::beginRound(std::set<std::uint64_t> sequences, std::size_t missedBefore, TimePoint now)
{
    m_outstanding = std::move(sequences);
    m_probed = m_outstanding.size() + missedBefore;
    m_missed = missedBefore;
    m_roundEnd = now + m_settings.probePeriod;
}

void IsolationWatch::answered(std::uint64_t sequence)
{
    m_outstanding.erase(sequence);
}

void IsolationWatch::cancelRound()
{
    m_roundEnd.reset();
    m_outstanding.clear();
}

IsolationWatch::Verdict IsolationWatch::finishRound(TimePoint now, bool isOutsideReached)
{
    if (!m_roundEnd || now < *m_roundEnd) {
        return Verdict::Unchanged;
    }
    m_missed += m_outstanding.size();
    cancelRound();
    return judge(now, isOutsideReached);
}

IsolationWatch::Verdict IsolationWatch::judge(TimePoint now, bool isOutsideReached)
{
    const bool isMostMissed = m_missed * 2 > m_probed;
    if (!m_isolatedSince) {
        if (!isMostMissed || now < m_excusedUntil) {
            return Verdict::Unchanged;
        }
        m_isolatedSince = now;
        return Verdict::Suspected;
    }
    if (!isMostMissed) {
        m_isolatedSince.reset();
        return Verdict::Ended;
    }
    const bool hasWitnesses = m_probed - m_missed >= WitnessesOfRealLoss || isOutsideReached;
    if (now - *m_isolatedSince < m_settings.isolationHold || !hasWitnesses) {
        return Verdict::Unchanged;
    }
    m_isolatedSince.reset();
    m_excusedUntil = now + m_settings.isolationHold;
    return Verdict::Ended;
}

} // namespace Fuchsiastep
