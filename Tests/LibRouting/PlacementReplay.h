#pragma once

#include "RoutingFixture.h"

#include <cmath>
#include <deque>
#include <map>
#include <queue>

namespace Fuchsiastep {

/// Replays the requests of many proxies for the upstreams of one service under the test clock. Each proxy knows only what
/// the answers to its own requests tell it, as in a fleet. The gates queue in order of arrival and decline what would wait
/// longer than the caller side accepts.
class PlacementReplay
{
public:
    struct Load
    {
        std::size_t proxies = 59;
        std::size_t upstreams = 45;
        std::uint32_t slots = 6;
        /// Requests a second of the whole fleet.
        double requestsPerSecond = 0;
        Duration work = std::chrono::milliseconds(220);
        /// Upstreams take \a work divided by these, in turn.
        std::vector<double> speeds {0.5, 1, 1, 1.5};
        Duration target = std::chrono::milliseconds(800);
        Duration length = std::chrono::seconds(20);
        /// Gates keep half of the target for the run, and decline what would wait for longer than the other half.
        bool isTargetKept = false;
        /// Proxies leave out upstreams that have just declined.
        bool hasDeclineMemory = false;
        /// See PlacementPolicy::Settings.
        std::size_t sampleSize = 0;
    };

    struct Result
    {
        std::size_t requests = 0;
        std::size_t inTarget = 0;
        /// Sum of the time that requests waited in a queue.
        Duration waited {0};
        /// Requests that were sent to a gate, also those that it declined.
        std::size_t offers = 0;
        std::size_t runs = 0;
        /// Offers that a gate declined because another one was expected to be faster.
        std::size_t fasterElsewhere = 0;
        std::size_t declinesAsBusy() const
        {
            return offers - fasterElsewhere - runs;
        }
        /// Sums over all arrivals: the largest number of requests at one gate over the mean, and whether one gate had a full queue
        /// while another had a free slot.
        double largestOverMean = 0;
        std::size_t unevenArrivals = 0;
        std::vector<Duration> waits;
        double meanLargestOverMean() const
        {
            return largestOverMean / static_cast<double>(requests);
        }
        double offersPerRun() const
        {
            return static_cast<double>(offers) / static_cast<double>(runs);
        }
        double unevenShare() const
        {
            return static_cast<double>(unevenArrivals) / static_cast<double>(requests);
        }
        Duration wait(double quantile)
        {
            std::sort(waits.begin(), waits.end());
            return waits.empty() ? Duration(0) : waits[static_cast<std::size_t>(quantile * static_cast<double>(waits.size() - 1))];
        }
        /// Offers in a second to the gate that had most.
        std::size_t mostOffersInSecond = 0;
        double shareInTarget() const
        {
            return static_cast<double>(inTarget) / static_cast<double>(requests);
        }
        Duration meanWait() const
        {
            return requests > 0 ? waited / static_cast<Duration::rep>(requests) : Duration(0);
        }
    };

    PlacementReplay(const Load &load, std::uint64_t seed) : m_load(load), m_random(seed), m_gates(load.upstreams)
    {
        std::vector<std::shared_ptr<const Endpoint>> endpoints;
        for (std::size_t number = 0; number < load.upstreams; ++number) {
            endpoints.push_back(RoutingFixture::endpoint(number));
        }
        RouteRules rules;
        rules.locality = LocalityPreference::Fastest;
        rules.targetLatency = load.target;
        m_route = RoutingFixture::route(std::move(endpoints), rules);
        for (std::size_t proxy = 0; proxy < load.proxies; ++proxy) {
            UpstreamSelector::Settings settings {"dc-a", "region-a"};
            settings.sampleSize = load.sampleSize;
            m_proxies.push_back(std::make_unique<RoutingFixture>(seed * 1000 + proxy, RoutingState::Settings(), settings));
            m_proxies.back()->state.setProxyCount(load.proxies);
        }
    }

    /// \a isInformed false places at random, the naive way.
    Result run(bool isInformed)
    {
        schedule({drawGap(), Event::Kind::Arrival, 0, 0});
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            advanceTo(event.at);
            if (event.kind == Event::Kind::End) {
                end(event);
                continue;
            }
            arrive(isInformed);
            if (m_now < m_load.length) {
                schedule({m_now + drawGap(), Event::Kind::Arrival, 0, 0});
            }
        }
        return m_result;
    }

private:
    struct Event
    {
        enum class Kind {
            Arrival,
            End,
        };
        Duration at {0};
        Kind kind = Kind::Arrival;
        std::size_t upstream = 0;
        std::size_t request = 0;
        bool operator<(const Event &other) const
        {
            return at > other.at;
        }
    };
    struct Request
    {
        std::size_t proxy = 0;
        Duration arrivedAt {0};
        Duration startedAt {0};
    };
    struct Gate
    {
        std::size_t running = 0;
        std::deque<std::size_t> queue;
        Duration meanService {0};
        std::size_t second = 0;
        std::size_t offersInSecond = 0;
    };

    void schedule(const Event &event)
    {
        m_events.push(event);
    }
    void advanceTo(Duration at)
    {
        for (const auto &proxy : m_proxies) {
            proxy->clock.advance(at - m_now);
        }
        m_now = at;
    }
    Duration drawGap()
    {
        return Duration(static_cast<Duration::rep>(-std::log(1 - m_random.unit()) * 1e6 / m_load.requestsPerSecond));
    }
    /// Mostly around the mean, at times a multiple of it.
    Duration drawWork(std::size_t upstream)
    {
        const double factor = 0.25 - 0.75 * std::log(1 - m_random.unit());
        return scaled(m_load.work, factor / m_load.speeds[upstream % m_load.speeds.size()]);
    }
    LoadReport reportOf(const Gate &gate) const
    {
        LoadReport report {m_load.slots, static_cast<std::uint32_t>(gate.running), static_cast<std::uint32_t>(gate.queue.size()), 0};
        report.serviceMs = static_cast<std::uint32_t>(gate.meanService.count() / 1000);
        return report;
    }
    void arrive(bool isInformed)
    {
        constexpr int Offers = 6;
        const std::size_t number = m_requests.size();
        m_requests.push_back({m_random.below(m_load.proxies), m_now, Duration(0)});
        ++m_result.requests;
        noteEvenness();
        RoutingFixture &proxy = *m_proxies[m_requests.back().proxy];
        std::vector<std::string> excluded = heldOff(proxy);
        for (int offer = 1; offer <= Offers; ++offer) {
            const auto placed = proxy.selector.tryPlace(m_route, {m_load.target, 0, excluded});
            if (isError(placed)) {
                return;
            }
            const Placement &placement = valueOf(placed);
            const std::size_t upstream =
                isInformed ? std::stoul(placement.endpoint->upstreamId.substr(1)) : m_random.below(m_load.upstreams);
            Gate &gate = m_gates[upstream];
            countOffer(gate);
            const Duration wait = gate.running < m_load.slots
                ? Duration(0)
                : gate.meanService * static_cast<Duration::rep>(gate.queue.size() + 1) / m_load.slots;
            const std::string id = "u" + std::to_string(upstream);
            if (isInformed && offer <= Offers / 2 && placement.maximumWait && wait > *placement.maximumWait) {
                ++m_result.fasterElsewhere;
                proxy.state.recordReport(id, reportOf(gate));
                continue;
            }
            if (m_load.isTargetKept && wait > m_load.target / 2) {
                proxy.state.recordReport(id, reportOf(gate));
                proxy.state.declines.recordDecline(id, m_route->selector->name, m_load.target, reportOf(gate));
                excluded.push_back(id);
                continue;
            }
            ++m_result.runs;
            proxy.state.load.recordStart(id);
            gate.queue.push_back(number);
            startNext(upstream);
            return;
        }
    }
    std::vector<std::string> heldOff(const RoutingFixture &proxy) const
    {
        std::vector<std::string> ids;
        for (const auto &endpoint : m_route->endpoints) {
            if (m_load.hasDeclineMemory && proxy.state.declines.isHeldOff(endpoint->upstreamId, m_route->selector->name, m_load.target)) {
                ids.push_back(endpoint->upstreamId);
            }
        }
        return ids;
    }
    void noteEvenness()
    {
        std::size_t most = 0;
        std::size_t sum = 0;
        bool isOneFree = false;
        for (const Gate &gate : m_gates) {
            const std::size_t held = gate.running + gate.queue.size();
            most = std::max(most, held);
            sum += held;
            isOneFree = isOneFree || gate.running < m_load.slots;
        }
        m_result.largestOverMean += sum == 0 ? 1 : static_cast<double>(most * m_gates.size()) / static_cast<double>(sum);
        m_result.unevenArrivals += isOneFree && most >= 2 * m_load.slots ? 1 : 0;
    }
    void countOffer(Gate &gate)
    {
        const auto second = static_cast<std::size_t>(m_now / std::chrono::seconds(1));
        gate.offersInSecond = gate.second == second ? gate.offersInSecond + 1 : 1;
        gate.second = second;
        ++m_result.offers;
        m_result.mostOffersInSecond = std::max(m_result.mostOffersInSecond, gate.offersInSecond);
    }
    void startNext(std::size_t upstream)
    {
        Gate &gate = m_gates[upstream];
        while (gate.running < m_load.slots && !gate.queue.empty()) {
            const std::size_t number = gate.queue.front();
            gate.queue.pop_front();
            ++gate.running;
            m_requests[number].startedAt = m_now;
            m_result.waited += m_now - m_requests[number].arrivedAt;
            m_result.waits.push_back(m_now - m_requests[number].arrivedAt);
            schedule({m_now + drawWork(upstream), Event::Kind::End, upstream, number});
        }
    }
    void end(const Event &event)
    {
        constexpr double SampleWeight = 0.1;
        Gate &gate = m_gates[event.upstream];
        const Request &request = m_requests[event.request];
        const Duration service = m_now - request.startedAt;
        gate.meanService += gate.meanService.count() == 0 ? service : scaled(service - gate.meanService, SampleWeight);
        --gate.running;
        startNext(event.upstream);
        RoutingFixture &proxy = *m_proxies[request.proxy];
        const std::string id = "u" + std::to_string(event.upstream);
        proxy.state.recordReport(id, reportOf(gate));
        proxy.state.load.recordEnd(id);
        m_result.inTarget += m_now - request.arrivedAt <= m_load.target ? 1 : 0;
    }

    Load m_load;
    Random m_random;
    Duration m_now {0};
    std::shared_ptr<const Route> m_route;
    std::vector<std::unique_ptr<RoutingFixture>> m_proxies;
    std::vector<Gate> m_gates;
    std::vector<Request> m_requests;
    std::priority_queue<Event> m_events;
    Result m_result;
};

} // namespace Fuchsiastep
