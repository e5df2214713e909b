#include "Serve.h"

#include <glib-unix.h>
#include <iostream>
#include <unistd.h>

namespace Fuchsiastep {

static JsonValue addressesOf(const Fleet &fleet)
{
    JsonValue::Array instances;
    for (const std::size_t index : fleet.all()) {
        const Instance &instance = fleet.at(index);
        instances.push_back(JsonValue::Object {
            {"proxy", instance.proxyId},
            {"data_centre", instance.dataCentre},
            {"service", instance.service ? fleet.plan().services.at(*instance.service).name : ""},
            {"upstream", instance.upstreamId},
            {"callers", instance.callers.toString()},
            {"control", instance.control.toString()},
            {"peers", instance.peers.toString()},
            {"upstream_address", instance.service ? instance.upstreamAddress.toString() : ""},
        });
    }
    return JsonValue::Object {{"platform", "http://" + fleet.platform().toString()}, {"instances", std::move(instances)}};
}

static gboolean onInput(int descriptor, GIOCondition, gpointer isClosed)
{
    std::array<char, 256> ignored {};
    if (read(descriptor, ignored.data(), ignored.size()) <= 0) {
        *static_cast<bool *>(isClosed) = true;
        return G_SOURCE_REMOVE;
    }
    return G_SOURCE_CONTINUE;
}

Result<Done> tryServe(const ExperimentOptions &options)
{
    constexpr Duration ReadyLimit = std::chrono::seconds(120);
    constexpr Duration ServeLimit = std::chrono::hours(1);
    Fleet fleet(options.plan, options.fleetOptions());
    FleetClient client(fleet);
    Result<Done> started = fleet.tryStart();
    if (isError(started)) {
        return started;
    }
    const std::size_t upstreams = std::min(fleet.size(), options.plan.upstreamCount());
    const auto isUp = [upstreams](const ProxyStatus &status) {
        return status.isReady && status.endpoints == upstreams;
    };
    if (!client.waitUntil(fleet.all(), isUp, ReadyLimit)) {
        return Error {ErrorCode::WaitTimeout, "the fleet did not become ready"};
    }
    std::cout << addressesOf(fleet).toText() << std::endl;
    bool isClosed = false;
    g_unix_fd_add(STDIN_FILENO, GIOCondition(G_IO_IN | G_IO_HUP), onInput, &isClosed);
    runLoopUntil([&isClosed] { return isClosed; }, ServeLimit);
    return Done {};
}

} // namespace Fuchsiastep
