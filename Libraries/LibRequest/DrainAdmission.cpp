#include <LibRequest/DrainAdmission.h>

#include <algorithm>

namespace Fuchsiastep {

/// A route's target leaves room above its usual latency; nearly every call ends within twice the target.
static constexpr int TargetsForCall = 2;

void DrainAdmission::start()
{
    m_startedAt = m_clock.now();
}

bool DrainAdmission::isLingering() const
{
    return m_startedAt && m_clock.now() < *m_startedAt + m_settings.lingerTime;
}

TimePoint DrainAdmission::endsAt() const
{
    return m_startedAt ? *m_startedAt + m_settings.drainTime : TimePoint::max();
}

bool DrainAdmission::mayTake(Duration timeLeft, Duration target, bool isOfOwnRun) const
{
    if (!isDraining()) {
        return true;
    }
    if (!isLingering() && !isOfOwnRun) {
        return false;
    }
    const Duration needed = target.count() > 0 ? std::min(timeLeft, TargetsForCall * target) : timeLeft;
    return m_clock.now() + needed <= endsAt();
}

} // namespace Fuchsiastep
