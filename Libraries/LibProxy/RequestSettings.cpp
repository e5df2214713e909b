#include <LibProxy/RequestSettings.h>

namespace Fuchsiastep {

RequestCoordinator::Settings coordinatorSettings(const LimitSettings &limits)
{
    RequestCoordinator::Settings settings;
    settings.maximumInFlight = limits.requestsInFlight;
    settings.maximumRequestBytes = limits.requestBodyBytes;
    settings.maximumRequestHeadBytes = limits.requestHeadBytes();
    settings.maximumAnswerBytes = limits.answerBodyBytes;
    settings.maximumBufferedBytes = limits.bufferBytes;
    return settings;
}

UpstreamGate::Settings gateSettings(const LimitSettings &limits)
{
    UpstreamGate::Settings settings;
    settings.queuePlacesPerSlot = limits.queuePerSlot;
    settings.maximumQueueTime = limits.queueTime;
    return settings;
}

AnswerTransfers::Settings transferSettings(const ProxySettings &settings)
{
    constexpr double BytesPerMegabit = 1e6 / 8;
    AnswerTransfers::Settings transfers;
    transfers.linkBytesPerSecond = settings.linkMbps * BytesPerMegabit;
    return transfers;
}

ClaimLedger::Settings ledgerSettings(const ProxySettings &settings, std::uint64_t incarnation)
{
    ClaimLedger::Settings ledger;
    ledger.proxyId = settings.proxyId;
    ledger.incarnation = incarnation;
    return ledger;
}

RoutingState::Settings routingSettings(const ProxySettings &settings)
{
    RoutingState::Settings routing;
    routing.retries.fleet = settings.retries;
    return routing;
}

UpstreamSelector::Settings selectorSettings(const ProxySettings &settings)
{
    UpstreamSelector::Settings selector;
    selector.proxyId = settings.proxyId;
    selector.dataCentre = settings.dataCentre;
    selector.region = settings.region;
    selector.sampleSize = settings.placement.sampleSize;
    return selector;
}

} // namespace Fuchsiastep
