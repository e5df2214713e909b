#pragma once

#include <LibProxy/ProxySettings.h>
#include <LibRequest/LibRequest.h>
#include <LibRouting/LibRouting.h>

#include <cstdint>

namespace Fuchsiastep {

// The settings of the decision objects for requests, taken from the settings of the proxy.

RequestCoordinator::Settings coordinatorSettings(const LimitSettings &limits);
UpstreamGate::Settings gateSettings(const LimitSettings &limits);
AnswerTransfers::Settings transferSettings(const ProxySettings &settings);
ClaimLedger::Settings ledgerSettings(const ProxySettings &settings, std::uint64_t incarnation);
RoutingState::Settings routingSettings(const ProxySettings &settings);
UpstreamSelector::Settings selectorSettings(const ProxySettings &settings);

} // namespace Fuchsiastep
