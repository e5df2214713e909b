#include <LibRouting/RetryBudget.h>

#include <algorithm>

namespace Fuchsiastep {

RetryBudget::RetryBudget(const Settings &settings, const Clock &clock)
    : m_settings(settings)
    , m_clock(clock)
    , m_tokens(std::min(settings.floorPerSecond, settings.capacity))
    , m_addedAt(clock.now())
    , m_windowBegin(clock.now())
{ }

void RetryBudget::setSettings(const Settings &settings)
{
    addFloor();
    m_settings = settings;
    m_tokens = std::min(m_tokens, capacity());
}

void RetryBudget::recordFirstTry()
{
    rollWindow();
    m_earned += m_settings.share;
    m_tokens = std::min(capacity(), m_tokens + m_settings.share);
}

bool RetryBudget::take(double cost)
{
    addFloor();
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= cost;
    return true;
}

void RetryBudget::rollWindow()
{
    const Duration elapsed = m_clock.now() - m_windowBegin;
    if (m_settings.window.count() == 0 || elapsed < m_settings.window) {
        return;
    }
    m_earnedBefore = elapsed < 2 * m_settings.window ? m_earned : 0;
    m_earned = 0;
    m_windowBegin = m_clock.now();
}

double RetryBudget::capacity() const
{
    if (m_settings.window.count() == 0) {
        return m_settings.capacity;
    }
    const double passed = std::chrono::duration<double>(m_clock.now() - m_windowBegin) / m_settings.window;
    return m_settings.capacity + m_earned + m_earnedBefore * std::max(0.0, 1 - passed);
}

void RetryBudget::addFloor()
{
    const double seconds = std::chrono::duration<double>(m_clock.now() - m_addedAt).count();
    m_addedAt = m_clock.now();
    rollWindow();
    m_tokens = std::min(capacity(), m_tokens + seconds * m_settings.floorPerSecond);
}

} // namespace Fuchsiastep
