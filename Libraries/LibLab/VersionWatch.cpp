#include <LibLab/VersionWatch.h>

namespace Fuchsiastep {

void VersionWatch::allowEmpty(std::size_t index)
{
    m_mayBeEmpty.insert(index);
}

void VersionWatch::observe(const FleetClient::Statuses &statuses)
{
    for (const auto &[index, status] : statuses) {
        if (!status) {
            continue;
        }
        ++m_observations;
        std::uint64_t &highest = m_highest[index];
        const bool isEmpty = status->version == 0 && !status->isReady && m_mayBeEmpty.contains(index);
        if (status->version < highest && !isEmpty) {
            m_violations.push_back(status->proxyId + " went from version " + std::to_string(highest) + " to "
                + std::to_string(status->version) + (status->isReady ? " and is ready" : ""));
        }
        if (status->version >= highest && status->version > 0) {
            highest = status->version;
            m_mayBeEmpty.erase(index);
        }
    }
}

} // namespace Fuchsiastep
