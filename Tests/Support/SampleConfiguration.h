#pragma once

#include <LibConfiguration/LibConfiguration.h>
#include <LibCore/LibCore.h>

#include <map>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Draws declared objects from a small set of names, so that changes collide often.
class SampleConfiguration
{
public:
    explicit SampleConfiguration(Random &random) : m_random(random)
    { }

    std::string serviceName()
    {
        return "service-" + std::to_string(m_random.below(5));
    }
    std::string upstreamId()
    {
        return "upstream-" + std::to_string(m_random.below(20));
    }
    Labels labels()
    {
        Labels labels;
        for (const char *name : {"tier", "line"}) {
            if (m_random.chance(0.5)) {
                labels[name] = std::to_string(m_random.below(3));
            }
        }
        return labels;
    }
    Selector selector(std::string service)
    {
        Selector selector;
        selector.name = "selector-" + std::to_string(m_random.below(10));
        selector.service = std::move(service);
        selector.callers = m_random.chance(0.5) ? labels() : Labels();
        selector.upstreams = labels();
        selector.methods = m_random.chance(0.5) ? std::vector<std::string>() : std::vector<std::string> {"GET"};
        selector.pathPrefix = m_random.chance(0.5) ? "/" : "/orders";
        selector.precedence = static_cast<std::int32_t>(m_random.below(3)) - 1;
        return selector;
    }
    /// Any object; it may name a service that is not declared.
    DeclaredObject object()
    {
        switch (m_random.below(3)) {
        case 0:
            return ServiceDeclaration {serviceName(), labels()};
        case 1:
            return UpstreamLabels {upstreamId(), serviceName(), labels()};
        default:
            return selector(serviceName());
        }
    }
    ObjectName name()
    {
        return nameOf(object());
    }
    /// A delta of one to three changes on top of \a base, which may be invalid.
    ConfigurationDelta delta(const Configuration &base)
    {
        std::map<ObjectName, DeclaredObject> stored;
        for (std::size_t i = 0; i <= m_random.below(3); ++i) {
            const DeclaredObject value = object();
            stored.insert_or_assign(nameOf(value), value);
        }
        std::vector<DeclaredObject> values;
        values.reserve(stored.size());
        for (const auto &entry : stored) {
            values.push_back(entry.second);
        }
        const ObjectName removed = name();
        const bool isRemoving = m_random.chance(0.3) && !stored.contains(removed) && base.object(removed).has_value();
        return ConfigurationDelta::onTopOf(base, values, isRemoving ? std::vector<ObjectName> {removed} : std::vector<ObjectName>());
    }
    Endpoint endpoint()
    {
        Endpoint endpoint;
        endpoint.upstreamId = upstreamId();
        endpoint.service = serviceName();
        endpoint.proxyId = "proxy-" + endpoint.upstreamId;
        endpoint.labels = labels();
        endpoint.isDraining = m_random.chance(0.2);
        return endpoint;
    }

private:
    Random &m_random;
};

/// A history of valid versions from version 1 on; each delta leads from one configuration to the next.
struct SampleHistory
{
    std::vector<Configuration::Pointer> configurations {Configuration::empty()};
    std::vector<ConfigurationDelta> deltas;

    SampleHistory(Random &random, std::size_t versions)
    {
        SampleConfiguration sample(random);
        while (deltas.size() < versions) {
            const ConfigurationDelta delta = sample.delta(*configurations.back());
            const Result<Configuration::Pointer> next = configurations.back()->tryApply(delta);
            if (!isError(next)) {
                configurations.push_back(valueOf(next));
                deltas.push_back(delta);
            }
        }
    }
};

} // namespace Fuchsiastep
