#include <LibRouting/RoutingState.h>

namespace Fuchsiastep {

RoutingState::RoutingState(const Settings &settings, const Clock &clock, Random &random)
    : load(settings.load, clock)
    , declines(settings.declines, clock, random)
    , ejections(settings.ejections, clock, random)
    , ramp(settings.ramp, clock)
    , retries(settings.retries, clock)
    , suspects(settings.suspects, clock)
{ }

void RoutingState::setProxyCount(std::size_t count)
{
    retries.setProxyCount(count);
    declines.setProxyCount(count);
}

void RoutingState::recordReport(const std::string &upstreamId, const LoadReport &report)
{
    load.recordReport(upstreamId, report);
    declines.recordReport(upstreamId, report);
}

void RoutingState::forget(const std::string &service, const std::string &upstreamId, std::size_t remaining)
{
    load.forget(upstreamId);
    declines.forget(upstreamId);
    ramp.forget(upstreamId);
    ejections.forget(service, upstreamId);
    ejections.setServiceSize(service, remaining);
}

} // namespace Fuchsiastep
