#pragma once

#include <LibLab/AcceptedChange.h>
#include <LibLab/Fleet.h>
#include <LibLab/LabHttp.h>
#include <LibLab/ProxyStatus.h>

#include <functional>
#include <optional>

namespace Fuchsiastep {

/// Asks the proxies of a fleet, its upstreams and its platform over HTTP, and waits for what they report.
class FleetClient
{
public:
    /// Nothing where the proxy did not answer.
    using Statuses = std::map<std::size_t, std::optional<ProxyStatus>>;
    using Condition = std::function<bool(const ProxyStatus &)>;
    using Observer = std::function<void(const Statuses &)>;

    explicit FleetClient(Fleet &fleet);

    Statuses statuses(const Fleet::Indices &indices);
    /// Asks the proxies again and again. Returns false where \a condition does not hold for each of them within \a limit.
    bool waitUntil(const Fleet::Indices &indices, const Condition &condition, Duration limit);
    bool waitUntilReady(const Fleet::Indices &indices, Duration limit);
    bool waitUntilHeld(const Fleet::Indices &indices, std::uint64_t version, Duration limit);
    /// Called with every round of statuses that a wait asks for.
    void setObserver(Observer observer);

    /// Submits through a proxy, whatever state the objects are in. Fails with ProxyUnreachable; the detail is the answer.
    Result<AcceptedChange> trySubmit(std::size_t index, const JsonValue &store, const std::string &operation);
    /// Sets one label of a service of the plan to \a value, or declares the service \a name.
    Result<AcceptedChange> trySubmitLabel(std::size_t index, const std::string &name, const std::string &value);

    /// A call through the caller side of a proxy.
    HttpCall callThrough(std::size_t index, const std::string &service, const std::string &path) const;
    HttpCall orderThrough(std::size_t index, const std::string &service, const std::string &path, const std::string &key) const;

    /// Counters of the platform stand-in by name; empty where it does not answer.
    std::map<std::string, std::uint64_t> platformCounters();
    /// Reads of the table, with scans, and of the object store.
    static std::uint64_t readsOf(const std::map<std::string, std::uint64_t> &counters);
    /// Sets the faults of PlatformFaultSettings; an empty object ends all.
    bool setPlatformFaults(const JsonValue &faults);

    /// GET /runs of an upstream as numbers by name.
    std::map<std::string, std::uint64_t> upstreamRuns(std::size_t index);

    LabHttp &http()
    {
        return m_http;
    }

private:
    std::map<std::string, std::uint64_t> numbersAt(const std::string &url);

    Fleet &m_fleet;
    LabHttp m_http;
    Observer m_observer;
};

} // namespace Fuchsiastep
