#include "Figures.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Fuchsiastep {

void Figures::add(double value)
{
    m_values.insert(std::upper_bound(m_values.begin(), m_values.end(), value), value);
}

double Figures::percentile(double share) const
{
    if (m_values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(m_values.size())));
    return m_values.at(std::max<std::size_t>(rank, 1) - 1);
}

double Figures::mean() const
{
    return m_values.empty() ? 0 : std::accumulate(m_values.begin(), m_values.end(), 0.0) / static_cast<double>(m_values.size());
}

} // namespace Fuchsiastep
