#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace Fuchsiastep {

/// Mean size of the answers to the requests of each selector, in bytes. The recent answers count most.
class AnswerSizes
{
public:
    /// Selectors remembered; of further ones nothing is known.
    static constexpr std::size_t MaximumSelectors = 4096;
    /// Weight of a new sample in a mean.
    static constexpr double SampleWeight = 0.2;

    void record(const std::string &selector, std::size_t bytes)
    {
        const auto known = m_means.find(selector);
        if (known != m_means.end()) {
            known->second += SampleWeight * (static_cast<double>(bytes) - known->second);
        } else if (m_means.size() < MaximumSelectors) {
            m_means.emplace(selector, static_cast<double>(bytes));
        }
    }

    /// 0 where nothing is known.
    double meanOf(const std::string &selector) const
    {
        const auto known = m_means.find(selector);
        return known == m_means.end() ? 0 : known->second;
    }

private:
    std::unordered_map<std::string, double> m_means;
};

} // namespace Fuchsiastep
