#pragma once

#include <LibRollout/LibRollout.h>

#include <LibCore/LibCore.h>

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Proxies of three data centres with the real decision objects of roll-outs, and a platform with one order. Half of the proxies
/// stand beside upstreams of the old version, and half beside those of the new one. Reports and news pass every 250 ms.
class RolloutFleet
{
public:
    /// How an answer of the new version turns out: failed, or how many times slower.
    struct Answer
    {
        bool isFailure = false;
        double slowness = 1;
    };
    using Fault = std::function<Answer(Random &random, Duration age, const std::string &selector)>;

    static constexpr std::size_t DataCentres = 3;
    static constexpr std::size_t UpstreamsEach = 10;
    static constexpr Duration Length = std::chrono::seconds(16);

    RolloutFleet(double requestsPerSecond, Fault fault, std::uint64_t seed)
        : m_random(seed), m_requestsPerSecond(requestsPerSecond), m_fault(std::move(fault))
    {
        for (std::size_t dataCentre = 0; dataCentre < DataCentres; ++dataCentre) {
            m_controllers.push_back(std::make_unique<RolloutController>(RolloutSettings {}, m_clock));
            for (std::size_t number = 0; number < 2 * UpstreamsEach; ++number) {
                addProxy(dataCentre, number >= UpstreamsEach);
            }
        }
        buildRoutes(false);
    }

    /// Requests reach the service before the order.
    void warmUp()
    {
        run(std::chrono::seconds(4));
        m_admittedNew = m_admittedAll = 0;
    }
    /// The new upstreams start, and \a orderDelay later the order is written.
    void startRollout(Duration orderDelay)
    {
        buildRoutes(true);
        run(orderDelay);
        m_orderedAt = m_clock.now();
        m_order = RolloutOrder {"desk", "v2", Length, 100};
    }

    void run(Duration time)
    {
        constexpr Duration Step = std::chrono::milliseconds(10);
        const TimePoint end = m_clock.now() + time;
        while (m_clock.now() < end) {
            m_clock.advance(Step);
            if (m_clock.now() >= m_nextExchange) {
                m_nextExchange = m_clock.now() + std::chrono::milliseconds(250);
                exchange();
            }
            double due = m_requestsPerSecond * std::chrono::duration<double>(Step).count();
            for (; due > 0; due -= 1) {
                if (due >= 1 || m_random.chance(due)) {
                    request();
                }
            }
        }
    }

    /// The coordinator of a data centre is replaced by one that knows nothing.
    void replaceController(std::size_t dataCentre)
    {
        m_controllers.at(dataCentre) = std::make_unique<RolloutController>(RolloutSettings {}, m_clock);
    }
    void setCutOff(std::size_t dataCentre, bool isCutOff)
    {
        if (isCutOff) {
            m_cutOff.insert(dataCentre);
        } else {
            m_cutOff.erase(dataCentre);
        }
    }
    void setPlatformDown(bool isDown)
    {
        m_isPlatformDown = isDown;
    }

    std::optional<RolloutStatus> status() const
    {
        return m_status;
    }
    Duration statusAge() const
    {
        return m_statusAt - m_orderedAt;
    }
    std::uint64_t exposed() const
    {
        return m_admittedNew;
    }
    std::uint64_t all() const
    {
        return m_admittedAll;
    }
    /// Requests that the new version got later than this after its 50th bad answer.
    std::uint64_t exposedAfterRollbackTime() const
    {
        return m_lateExposed;
    }
    /// Requests on their way to the old version when the status became Completed, or sent there later.
    std::uint64_t cutOffRequests() const
    {
        return m_cutOffRequests;
    }
    std::size_t statusWrites() const
    {
        return m_statusWrites;
    }

private:
    struct Proxy
    {
        std::size_t dataCentre = 0;
        bool isNew = false;
        std::string upstreamId;
        std::unique_ptr<VersionSplit> split;
        std::unique_ptr<RunRecorder> recorder;
    };
    struct Run
    {
        std::uint64_t id = 0;
        std::size_t proxy = 0;
        bool isFailure = false;
        Duration time {0};
    };

    void addProxy(std::size_t dataCentre, bool isNew)
    {
        Proxy proxy;
        proxy.dataCentre = dataCentre;
        proxy.isNew = isNew;
        proxy.upstreamId = "upstream-" + std::to_string(m_proxies.size());
        proxy.split = std::make_unique<VersionSplit>(VersionSplitSettings {}, m_clock);
        proxy.recorder = std::make_unique<RunRecorder>(m_clock);
        proxy.recorder->setUpstream("desk", isNew ? "v2" : "v1", Duration(0));
        m_proxies.push_back(std::move(proxy));
    }
    void buildRoutes(bool hasNew)
    {
        for (const std::string name : {"browse", "order"}) {
            auto selector = std::make_shared<Selector>();
            selector->name = name;
            selector->service = "desk";
            auto route = std::make_shared<Route>();
            route->selector = selector;
            for (const Proxy &proxy : m_proxies) {
                if (proxy.isNew && !hasNew) {
                    continue;
                }
                auto endpoint = std::make_shared<Endpoint>();
                endpoint->upstreamId = proxy.upstreamId;
                endpoint->service = "desk";
                endpoint->labels = {{VersionLabel, proxy.isNew ? "v2" : "v1"}};
                route->endpoints.push_back(endpoint);
            }
            m_routes[name] = route;
        }
    }
    void request()
    {
        finishRuns();
        Proxy &caller = m_proxies[m_random.below(m_proxies.size())];
        const std::string selector = m_random.chance(0.7) ? "browse" : "order";
        const std::shared_ptr<const Route> route = caller.split->select(m_routes.at(selector));
        if (route->endpoints.empty()) {
            return;
        }
        const std::string &chosen = route->endpoints[m_random.below(route->endpoints.size())]->upstreamId;
        const auto found = std::find_if(m_proxies.begin(), m_proxies.end(), [&](const Proxy &proxy) { return proxy.upstreamId == chosen; });
        Proxy &upstream = *found;
        const bool isOrdered = m_order.has_value();
        m_admittedAll += isOrdered || !upstream.isNew ? 1 : 0;
        m_cutOffRequests += m_status == RolloutStatus::Completed && !upstream.isNew ? 1 : 0;
        Answer answer;
        if (upstream.isNew) {
            ++m_admittedNew;
            answer = m_fault(m_random, m_clock.now() - m_orderedAt, selector);
            m_lateExposed += m_badAt && m_clock.now() > *m_badAt + std::chrono::seconds(5) ? 1 : 0;
            m_bad += answer.isFailure || answer.slowness > 1 ? 1 : 0;
            if (m_bad == 50 && !m_badAt) {
                m_badAt = m_clock.now();
            }
        }
        const double milliseconds =
            (selector == "browse" ? 70 : 90) * std::exp(0.6 * (m_random.unit() + m_random.unit() + m_random.unit() - 1.5) * 2);
        Run run {++m_nextRun,
            static_cast<std::size_t>(found - m_proxies.begin()),
            answer.isFailure,
            std::chrono::microseconds(static_cast<std::int64_t>(1000 * milliseconds * answer.slowness))};
        upstream.recorder->start(run.id, selector);
        m_runs.emplace(m_clock.now() + run.time, run);
    }
    void finishRuns()
    {
        while (!m_runs.empty() && m_runs.begin()->first <= m_clock.now()) {
            const Run run = m_runs.begin()->second;
            m_runs.erase(m_runs.begin());
            m_proxies[run.proxy].recorder->end(run.id, run.isFailure ? 500 : 200, run.time);
        }
    }
    void exchange()
    {
        finishRuns();
        for (std::size_t dataCentre = 0; dataCentre < DataCentres; ++dataCentre) {
            RolloutController &controller = *m_controllers[dataCentre];
            FleetSize size;
            for (const Proxy &proxy : m_proxies) {
                if (proxy.dataCentre == dataCentre) {
                    size.members.insert(proxy.upstreamId);
                }
            }
            for (std::size_t other = 0; other < DataCentres; ++other) {
                if (other != dataCentre) {
                    size.otherDataCentres.insert(std::to_string(other));
                }
            }
            perform(dataCentre, controller.handle(size));
            perform(dataCentre, controller.handle(CoordinatorRole {true}));
            perform(dataCentre, controller.advance());
            for (Proxy &proxy : m_proxies) {
                if (proxy.dataCentre != dataCentre) {
                    continue;
                }
                if (const std::optional<RunReport> report = proxy.recorder->report()) {
                    perform(dataCentre, controller.handle(MemberRuns {proxy.upstreamId, {*report}}));
                }
                proxy.split->update(controller.states(), controller.knownAt().value_or(TimePoint()));
                proxy.recorder->update(proxy.split->states());
            }
            for (std::size_t other = 0; other < DataCentres; ++other) {
                if (other != dataCentre && !m_cutOff.contains(other) && !m_cutOff.contains(dataCentre)) {
                    perform(dataCentre,
                        controller.handle(
                            DataCentreRuns {std::to_string(other), m_controllers[other]->states(), m_controllers[other]->sums()}));
                }
            }
        }
    }
    void perform(std::size_t dataCentre, const std::vector<RolloutControllerOutput> &outputs)
    {
        const bool canReach = !m_isPlatformDown && !m_cutOff.contains(dataCentre);
        for (const RolloutControllerOutput &output : outputs) {
            if (std::holds_alternative<OrdersWanted>(output)) {
                RolloutController &controller = *m_controllers[dataCentre];
                if (!canReach) {
                    perform(dataCentre, controller.handle(OrdersUnreadable {}));
                    continue;
                }
                OrdersRead read;
                if (m_order) {
                    read.orders.push_back({*m_order, m_status, m_statusRevision});
                }
                perform(dataCentre, controller.handle(read));
            } else if (const auto *write = std::get_if<StatusWrite>(&output); write != nullptr && canReach) {
                if (write->expectedRevision == m_statusRevision) {
                    CPPUNIT_ASSERT(!m_status || *m_status == RolloutStatus::Running);
                    m_status = write->status;
                    m_statusRevision = ++m_revision;
                    ++m_statusWrites;
                    m_statusAt = m_clock.now();
                    if (m_status == RolloutStatus::Completed) {
                        for (const auto &[at, run] : m_runs) {
                            m_cutOffRequests += m_proxies[run.proxy].isNew ? 0 : 1;
                        }
                    }
                }
            }
        }
    }

    Clock m_clock = Clock::manual();
    Random m_random;
    double m_requestsPerSecond;
    Fault m_fault;
    std::vector<std::unique_ptr<RolloutController>> m_controllers;
    std::vector<Proxy> m_proxies;
    std::map<std::string, std::shared_ptr<const Route>> m_routes;
    std::set<std::size_t> m_cutOff;
    bool m_isPlatformDown = false;
    std::optional<RolloutOrder> m_order;
    TimePoint m_orderedAt;
    std::optional<RolloutStatus> m_status;
    TimePoint m_statusAt;
    std::uint64_t m_statusRevision = 0;
    std::uint64_t m_revision = 200;
    std::size_t m_statusWrites = 0;
    TimePoint m_nextExchange;
    std::multimap<TimePoint, Run> m_runs;
    std::uint64_t m_nextRun = 0;
    std::uint64_t m_admittedNew = 0;
    std::uint64_t m_admittedAll = 0;
    std::uint64_t m_bad = 0;
    std::optional<TimePoint> m_badAt;
    std::uint64_t m_lateExposed = 0;
    std::uint64_t m_cutOffRequests = 0;
};

} // namespace Fuchsiastep
