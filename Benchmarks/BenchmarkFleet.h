#pragma once

#include "ExpectValue.h"

#include <LibConfiguration/LibConfiguration.h>
#include <LibMembership/MemberRecord.h>

#include <cstddef>
#include <string>
#include <vector>

namespace Fuchsiastep::Benchmarks {

/// Data centres of the scale target.
constexpr std::size_t DataCentreCount = 8;
/// Regions of the scale target.
constexpr std::size_t RegionCount = 3;
constexpr std::size_t SelectorsPerService = 2;

/// Services of a fleet with this many upstreams, in the proportion of the scale target.
std::size_t serviceCountFor(std::size_t upstreams);
/// Declared objects of a fleet: every service, every upstream's labels and the selectors.
std::size_t objectCountFor(std::size_t upstreams);

std::string serviceName(std::size_t index);
std::string upstreamId(std::size_t index);
std::string proxyId(std::size_t index);
std::string dataCentreName(std::size_t index);

Selector makeSelector(std::size_t service, std::size_t index, std::size_t upstreams);
Endpoint makeEndpoint(std::size_t index, std::size_t upstreams);
std::vector<Endpoint> makeEndpoints(std::size_t upstreams);
/// Version 1 with every object of the fleet.
Configuration::Pointer makeConfiguration(std::size_t upstreams);
/// The change of one selector, which is different for each \a step.
ConfigurationDelta makeChange(const Configuration &base, std::size_t step, std::size_t upstreams);

/// A serving member with its upstream. Members are dealt out to the data centres in turn, or all belong to the
/// first one where \a dataCentres is 1.
MemberRecord makeMember(std::size_t index, std::size_t upstreams, std::size_t dataCentres = DataCentreCount);

} // namespace Fuchsiastep::Benchmarks
