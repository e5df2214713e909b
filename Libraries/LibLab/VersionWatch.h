#pragma once

#include <LibLab/FleetClient.h>

#include <set>

namespace Fuchsiastep {

/// Checks every status against the highest version that the proxy has reported, across its restarts: none is
/// lower. A proxy that was started again may hold nothing yet, and is not ready then.
class VersionWatch
{
public:
    void observe(const FleetClient::Statuses &statuses);
    /// The proxy was started again, so it may hold nothing until it is ready.
    void allowEmpty(std::size_t index);

    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    std::size_t observations() const
    {
        return m_observations;
    }

private:
    std::map<std::size_t, std::uint64_t> m_highest;
    std::set<std::size_t> m_mayBeEmpty;
    std::vector<std::string> m_violations;
    std::size_t m_observations = 0;
};

} // namespace Fuchsiastep
