#include "BenchmarkFleet.h"

#include <LibMembership/MemberRecordCodec.h>

namespace Fuchsiastep::Benchmarks {

namespace {

constexpr std::size_t TargetUpstreams = 26'000;
constexpr std::size_t TargetServices = 1'200;
constexpr std::uint16_t ProxyPort = 7100;

SocketAddress addressOf(std::size_t index)
{
    return {
        "10." + std::to_string(index / 65'536) + "." + std::to_string(index / 256 % 256) + "." + std::to_string(index % 256), ProxyPort};
}

std::string regionName(std::size_t dataCentre)
{
    return "region-" + std::to_string(dataCentre % RegionCount);
}

} // namespace

std::size_t serviceCountFor(std::size_t upstreams)
{
    return std::max<std::size_t>(1, (upstreams * TargetServices + TargetUpstreams / 2) / TargetUpstreams);
}

std::size_t objectCountFor(std::size_t upstreams)
{
    return upstreams + serviceCountFor(upstreams) * (1 + SelectorsPerService);
}

std::string serviceName(std::size_t index)
{
    return "service-" + std::to_string(index);
}

std::string upstreamId(std::size_t index)
{
    return "upstream-" + std::to_string(index);
}

std::string proxyId(std::size_t index)
{
    return "proxy-" + std::to_string(index);
}

std::string dataCentreName(std::size_t index)
{
    return "data-centre-" + std::to_string(index);
}

Selector makeSelector(std::size_t service, std::size_t index, std::size_t upstreams)
{
    Selector selector;
    selector.name = serviceName(service) + "-selector-" + std::to_string(index);
    selector.service = serviceName(service);
    if (index > 0) {
        selector.callers = {{"tier", "front"}};
    }
    selector.upstreams = {{"track", "stable"}};
    selector.pathPrefix = index > 0 ? "/orders" : "/";
    selector.precedence = static_cast<std::int32_t>(index);
    selector.rules.maximumRetries = static_cast<std::uint32_t>(upstreams % 3);
    return selector;
}

Endpoint makeEndpoint(std::size_t index, std::size_t upstreams)
{
    Endpoint endpoint;
    endpoint.upstreamId = upstreamId(index);
    endpoint.service = serviceName(index % serviceCountFor(upstreams));
    endpoint.proxyId = proxyId(index);
    endpoint.incarnation = 1'700'000'000'000 + index;
    endpoint.dataCentre = dataCentreName(index % DataCentreCount);
    endpoint.region = regionName(index % DataCentreCount);
    endpoint.proxyAddress = addressOf(index);
    endpoint.labels = {{"build", "1.4.2"}, {"track", "stable"}};
    endpoint.slots = 6;
    return endpoint;
}

std::vector<Endpoint> makeEndpoints(std::size_t upstreams)
{
    std::vector<Endpoint> endpoints;
    for (std::size_t index = 0; index < upstreams; ++index) {
        endpoints.push_back(makeEndpoint(index, upstreams));
    }
    return endpoints;
}

Configuration::Pointer makeConfiguration(std::size_t upstreams)
{
    std::vector<DeclaredObject> objects;
    for (std::size_t service = 0; service < serviceCountFor(upstreams); ++service) {
        objects.emplace_back(ServiceDeclaration {serviceName(service), {{"tier", "front"}}});
        for (std::size_t index = 0; index < SelectorsPerService; ++index) {
            objects.emplace_back(makeSelector(service, index, upstreams));
        }
    }
    for (std::size_t index = 0; index < upstreams; ++index) {
        objects.emplace_back(UpstreamLabels {upstreamId(index), serviceName(index % serviceCountFor(upstreams)), {{"rack", "r1"}}});
    }
    const auto empty = Configuration::empty();
    return expectValue(empty->tryApply(ConfigurationDelta::onTopOf(*empty, std::move(objects), {})));
}

ConfigurationDelta makeChange(const Configuration &base, std::size_t step, std::size_t upstreams)
{
    auto selector = makeSelector(step % serviceCountFor(upstreams), 0, upstreams);
    selector.rules.timeout = std::chrono::milliseconds(1000 + step % 50'000);
    return ConfigurationDelta::onTopOf(base, {selector}, {});
}

MemberRecord makeMember(std::size_t index, std::size_t upstreams, std::size_t dataCentres)
{
    MemberRecord record;
    record.proxyId = proxyId(index);
    record.incarnation = 1'700'000'000'000 + index;
    record.sequence = 1;
    record.state = MemberState::Serving;
    record.address = addressOf(index);
    record.dataCentre = dataCentreName(index % dataCentres);
    record.region = regionName(index % dataCentres);
    record.endpoint = makeEndpoint(index, upstreams);
    record.controlAddress = record.address;
    completeEndpoint(record);
    return record;
}

} // namespace Fuchsiastep::Benchmarks
