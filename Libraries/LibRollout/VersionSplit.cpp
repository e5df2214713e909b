#include <LibRollout/VersionSplit.h>

#include <LibCore/Digest.h>

#include <algorithm>
#include <cmath>

namespace Fuchsiastep {

static constexpr std::uint32_t PermilleOfAll = 1000;
/// Routes whose parts are kept. Others are split again when they are used.
static constexpr std::size_t MaximumParts = 4096;
/// Time between two looks at the versions of a route.
static constexpr Duration CheckPeriod = std::chrono::milliseconds(250);

static std::string versionOf(const Endpoint &endpoint)
{
    const auto label = endpoint.labels.find(VersionLabel);
    return label == endpoint.labels.end() ? std::string() : label->second;
}

VersionSplit::VersionSplit(VersionSplitSettings settings, const Clock &clock) : m_settings(settings), m_clock(clock)
{ }

void VersionSplit::update(const std::vector<RolloutState> &states, TimePoint knownAt)
{
    for (const RolloutState &state : states) {
        const auto known = m_states.find(state.order.service);
        if (known == m_states.end() || supersedes(state, known->second)) {
            m_states[state.order.service] = state;
            ++m_generation;
        }
    }
    m_knownAt = m_isAnythingKnown ? std::max(m_knownAt, knownAt) : knownAt;
    m_isAnythingKnown = true;
}

std::vector<RolloutState> VersionSplit::states() const
{
    std::vector<RolloutState> states;
    for (const auto &[service, state] : m_states) {
        states.push_back(state);
    }
    return states;
}

bool VersionSplit::hasNews() const
{
    return m_isAnythingKnown && m_clock.now() - m_knownAt <= m_settings.newsTime;
}

std::shared_ptr<const Route> VersionSplit::select(const std::shared_ptr<const Route> &route)
{
    if (route->endpoints.empty()) {
        return route;
    }
    const std::string &name = route->selector->service;
    Service &service = m_services[name];
    const Parts &parts = partsOf(route, service);
    const bool hasNewPart = parts.newPart != nullptr && !parts.newPart->endpoints.empty();
    if (!hasNewPart) {
        return parts.oldPart;
    }
    const RolloutState &rollout = m_states.at(name);
    const bool mayUse = rollout.phase == RolloutPhase::Ramping || hasNews();
    if (!mayUse) {
        return parts.oldPart;
    }
    if (parts.oldPart->endpoints.empty()) {
        return parts.newPart;
    }
    service.credit += rollout.sharePermille;
    if (service.credit < PermilleOfAll) {
        return parts.oldPart;
    }
    service.credit -= PermilleOfAll;
    return parts.newPart;
}

void VersionSplit::noteVersions(const Route &route, Service &service)
{
    const TimePoint now = m_clock.now();
    const bool isFirst = service.firstSeen.empty();
    std::map<std::string, std::size_t> counts;
    for (const auto &endpoint : route.endpoints) {
        ++counts[versionOf(*endpoint)];
    }
    for (const auto &[version, count] : counts) {
        if (service.firstSeen.emplace(version, now).second) {
            ++m_generation;
        }
    }
    if (isFirst && counts.size() == 1) {
        service.inForce.insert(counts.begin()->first);
    } else if (isFirst) {
        // Of several versions, the one that most upstreams have, until it is known whether there is a roll-out.
        const auto most =
            std::max_element(counts.begin(), counts.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
        service.inForce.insert(most->first);
    }
    const auto state = m_states.find(route.selector->service);
    if (state != m_states.end()) {
        if (state->second.phase == RolloutPhase::Completed && service.inForce != std::set {state->second.order.target}) {
            service.inForce = {state->second.order.target};
            ++m_generation;
        }
    }
    if (service.inForce.size() == service.firstSeen.size() || !hasNews()) {
        return;
    }
    // A version without an order is a plain replacement.
    for (const auto &[version, seenAt] : service.firstSeen) {
        const bool isOrdered =
            state != m_states.end() && (version == state->second.order.target || state->second.phase == RolloutPhase::Completed);
        if (!isOrdered && m_knownAt - seenAt >= m_settings.orderTime && service.inForce.insert(version).second) {
            ++m_generation;
        }
    }
}

const VersionSplit::Parts &VersionSplit::partsOf(const std::shared_ptr<const Route> &route, Service &service)
{
    const TimePoint now = m_clock.now();
    const auto found = m_parts.find(route.get());
    // A new route may have the address of one that is gone.
    const bool isKnown = found != m_parts.end() && found->second.route.lock() == route;
    if (isKnown && found->second.generation == m_generation && now - found->second.checkedAt < CheckPeriod) {
        return found->second;
    }
    noteVersions(*route, service);
    if (isKnown && found->second.generation == m_generation) {
        found->second.checkedAt = now;
        return found->second;
    }
    if (found == m_parts.end()) {
        m_partOrder.push_back(route.get());
        if (m_partOrder.size() > MaximumParts) {
            m_parts.erase(m_partOrder.front());
            m_partOrder.pop_front();
        }
    }
    return m_parts.insert_or_assign(route.get(), split(route, service)).first->second;
}

VersionSplit::Parts VersionSplit::split(const std::shared_ptr<const Route> &route, const Service &service) const
{
    Parts parts {route, m_generation, m_clock.now(), route, nullptr};
    const auto state = m_states.find(route->selector->service);
    if (state == m_states.end()) {
        const bool isOneVersion = service.inForce.size() == service.firstSeen.size();
        parts.oldPart = isOneVersion ? route : filtered(*route, service.inForce, route->endpoints.size(), 0);
        return parts;
    }
    const RolloutState &rollout = state->second;
    std::set<std::string> oldVersions = service.inForce;
    if (rollout.phase != RolloutPhase::Completed) {
        oldVersions.erase(rollout.order.target);
    }
    parts.oldPart = filtered(*route, oldVersions, route->endpoints.size(), 0);
    if (isFinal(rollout.phase)) {
        return parts;
    }
    // Few upstreams get the share of the new version, so that each carries about the load of an old one.
    const auto oldCount = static_cast<double>(parts.oldPart->endpoints.size());
    const auto most = static_cast<std::size_t>(std::ceil(oldCount * rollout.sharePermille / PermilleOfAll));
    const bool isAll = rollout.sharePermille >= PermilleOfAll || parts.oldPart->endpoints.empty();
    parts.newPart =
        filtered(*route, {rollout.order.target}, isAll ? route->endpoints.size() : std::max<std::size_t>(1, most), rollout.order.revision);
    return parts;
}

std::shared_ptr<const Route> VersionSplit::filtered(
    const Route &route, const std::set<std::string> &versions, std::size_t most, std::uint64_t seed)
{
    auto part = std::make_shared<Route>();
    part->selector = route.selector;
    for (const auto &endpoint : route.endpoints) {
        if (versions.contains(versionOf(*endpoint))) {
            part->endpoints.push_back(endpoint);
        }
    }
    if (part->endpoints.size() > most) {
        // Every proxy chooses the same ones.
        std::sort(part->endpoints.begin(), part->endpoints.end(), [seed](const auto &left, const auto &right) {
            return stableHash(left->upstreamId, seed) < stableHash(right->upstreamId, seed);
        });
        part->endpoints.resize(most);
    }
    return part;
}

} // namespace Fuchsiastep
