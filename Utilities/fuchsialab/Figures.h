#pragma once

#include <vector>

namespace Fuchsiastep {

/// Measured values and their order statistics; 0 where there are none.
class Figures
{
public:
    void add(double value);
    /// The value below or at which the given share lies, from 0 to 1.
    double percentile(double share) const;
    double median() const
    {
        constexpr double Half = 0.5;
        return percentile(Half);
    }
    double maximum() const
    {
        return percentile(1);
    }
    double mean() const;

private:
    /// In ascending order.
    std::vector<double> m_values;
};

} // namespace Fuchsiastep
