#include <LibRouting/RetryBudget.h>

#include <algorithm>

namespace Fuchsiastep {

RetryBudget::RetryBudget(const Settings &settings, const Clock &clock)
    : m_settings(settings), m_clock(clock), m_tokens(std::min(settings.floorPerSecond, settings.capacity)), m_addedAt(clock.now())
{ }

void RetryBudget::setSettings(const Settings &settings)
{
    addFloor();
    m_settings = settings;
    m_tokens = std::min(m_tokens, m_settings.capacity);
}

void RetryBudget::recordFirstTry()
{
    m_tokens = std::min(m_settings.capacity, m_tokens + m_settings.share);
}

bool RetryBudget::take()
{
    addFloor();
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void RetryBudget::addFloor()
{
    const double seconds = std::chrono::duration<double>(m_clock.now() - m_addedAt).count();
    m_addedAt = m_clock.now();
    m_tokens = std::min(m_settings.capacity, m_tokens + seconds * m_settings.floorPerSecond);
}

} // namespace Fuchsiastep
