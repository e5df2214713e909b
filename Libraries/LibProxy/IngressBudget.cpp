#include <LibProxy/IngressBudget.h>

namespace Fuchsiastep {

IngressBudget::IngressBudget(std::uint64_t limitBytes) : m_limitBytes(limitBytes)
{ }

IngressBudget::Order IngressBudget::orderOf(IngressKey key, const Held &held)
{
    return {-static_cast<std::int64_t>(held.bytes), held.lastByteAt, key};
}

void IngressBudget::update(IngressKey key, std::uint64_t bytes, TimePoint lastByteAt)
{
    remove(key);
    if (bytes == 0) {
        return;
    }
    const Held held {bytes, lastByteAt};
    m_held.emplace(key, held);
    m_order.insert(orderOf(key, held));
    m_heldBytes += bytes;
}

void IngressBudget::remove(IngressKey key)
{
    const auto known = m_held.find(key);
    if (known == m_held.end()) {
        return;
    }
    m_heldBytes -= known->second.bytes;
    m_order.erase(orderOf(key, known->second));
    m_held.erase(known);
}

std::optional<IngressKey> IngressBudget::excess() const
{
    if (m_heldBytes <= m_limitBytes || m_order.empty()) {
        return std::nullopt;
    }
    return std::get<IngressKey>(*m_order.begin());
}

} // namespace Fuchsiastep
