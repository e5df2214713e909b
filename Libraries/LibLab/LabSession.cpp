#include <LibLab/LabSession.h>

#include <algorithm>

namespace Fuchsiastep {

static constexpr Duration ReadyLimit = std::chrono::seconds(120);
static constexpr Duration HeldLimit = std::chrono::seconds(60);

Result<Done> LabSession::tryOpen()
{
    Result<Done> started = fleet.tryStart();
    if (isError(started)) {
        return started;
    }
    if (!client.waitUntilReady(fleet.all(), ReadyLimit)) {
        return Error {ErrorCode::WaitTimeout, "the fleet did not become ready"};
    }
    const Result<AcceptedChange> change = client.trySubmit(0, fleet.plan().openDeclarations(), "open-declarations");
    if (isError(change)) {
        return errorOf(change);
    }
    version = valueOf(change).version;
    if (!client.waitUntilHeld(fleet.running(), version, HeldLimit)) {
        return Error {ErrorCode::WaitTimeout, "not every proxy holds the declarations"};
    }
    const Fleet::Indices all = fleet.all();
    return tryAwaitEndpoints(
        static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [this](std::size_t i) { return fleet.at(i).isUpstreamRunning(); })));
}

Result<Done> LabSession::tryAwaitEndpoints(std::size_t endpoints)
{
    const auto isMet = [endpoints](const ProxyStatus &status) {
        return status.endpoints == endpoints;
    };
    if (!client.waitUntil(fleet.running(), isMet, HeldLimit)) {
        return Error {ErrorCode::WaitTimeout, "not every proxy shows " + std::to_string(endpoints) + " endpoints"};
    }
    return Done {};
}

double LabSession::convergenceMs(const AcceptedChange &change)
{
    std::int64_t last = change.acceptedUnixMs;
    for (const auto &[index, status] : client.statuses(fleet.running())) {
        if (status) {
            last = std::max(last, status->adoptedUnixMs);
        }
    }
    return static_cast<double>(last - change.acceptedUnixMs);
}

} // namespace Fuchsiastep
