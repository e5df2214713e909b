#pragma once

#include <LibCore/Clock.h>
#include <LibCore/JsonValue.h>
#include <LibLab/ServicePlan.h>

#include <string>
#include <vector>

namespace Fuchsiastep {

/// A deployment to emulate: where its data centres are, what runs there, and the settings of its proxies.
struct DeploymentPlan
{
    std::string name;
    std::string region;
    std::vector<std::string> dataCentres;
    std::vector<ServicePlan> services;
    /// The objects "distribution", "membership" and "limits" of the settings of fuchsiastepd.
    JsonValue::Object distribution;
    JsonValue::Object membership;
    JsonValue::Object limits;

    /// Reads and checks {"name","region","data_centres":[...],"services":[{"name","upstreams","slots","connections",
    /// "service_time_ms","cold_start_ms","labels"}],"distribution":{...},"membership":{...}}. Fails with the first
    /// wrong field; its detail names the path.
    static Result<DeploymentPlan> tryParse(std::string_view text);
    /// Fails also with FileUnreadable.
    static Result<DeploymentPlan> tryLoad(const std::string &path);

    /// Declarations that let every caller reach every service, for runs that bring none of their own.
    JsonValue openDeclarations() const;
    std::size_t upstreamCount() const;
};

} // namespace Fuchsiastep
