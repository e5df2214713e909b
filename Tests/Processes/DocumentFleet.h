#pragma once

#include "ProcessTest.h"

#include <Support/StoreStandIn.h>

#include <array>
#include <csignal>
#include <fstream>
#include <set>

namespace Fuchsiastep {

/// A route of a document by its prefix, and the service that it leads to.
using DocumentRoutes = std::map<std::string, std::string>;

/// Proxies of one data centre on the protocol of the users' platform, beside a store of this process. Four of them read the
/// store, as the deployment file says.
class DocumentFleet
{
public:
    using Indices = std::vector<std::size_t>;

    explicit DocumentFleet(std::size_t proxies) : m_proxies(proxies)
    {
        for (std::size_t index = 0; index < proxies; ++index) {
            m_proxies[index].id = "proxy-" + std::to_string(index);
            m_proxies[index].ip = ipOf(index + 1);
        }
        requireDone(store.tryListen({ipOf(0), 0}));
    }

    /// The text of the operator's document.
    static std::string document(std::uint64_t version, const DocumentRoutes &routes)
    {
        JsonValue::Array items;
        JsonValue::Array services;
        std::set<std::string> names;
        for (const auto &[prefix, service] : routes) {
            items.emplace_back(JsonValue::Object {{"name", "route" + std::to_string(items.size())},
                {"host", Host},
                {"prefix", prefix},
                {"routeType", "idempotent"},
                {"timeoutMs", 1000},
                {"attempts", 2},
                {"service", service}});
            if (names.insert(service).second) {
                services.emplace_back(JsonValue::Object {{"name", service}});
            }
        }
        return JsonValue(JsonValue::Object {{"version", "r" + std::to_string(version)},
                             {"services", std::move(services)},
                             {"routes", std::move(items)},
                             {"limits", JsonValue::Object {}}})
            .toText();
    }

    /// The operator writes a version, and the store acknowledges it.
    std::uint64_t writeVersion(std::uint64_t version, const DocumentRoutes &routes)
    {
        return store.write("op/config", document(version, routes));
    }
    /// Other writers use the store.
    void writeOtherRows(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            store.write("servers/other-" + std::to_string(number), "{}");
        }
    }

    void start(const Indices &indices)
    {
        for (const std::size_t index : indices) {
            Proxy &proxy = m_proxies.at(index);
            const std::string settingsPath = m_folder.pathOf(proxy.id + ".json");
            std::ofstream(settingsPath) << settingsOf(proxy);
            Result<std::unique_ptr<LabProcess>> process = LabProcess::tryStart(
                {testOptions(1).programFolder + "/fuchsiastepd", {"--settings", settingsPath}, m_folder.pathOf(proxy.id + ".log")});
            requireDone(isError(process) ? Result<Done>(errorOf(process)) : Result<Done>(Done {}));
            proxy.process = valueOf(std::move(process));
            proxy.highestVersion = 0;
        }
        const auto areStarted = [&] {
            return std::all_of(indices.begin(), indices.end(), [&](std::size_t index) { return m_proxies[index].process->isStarted(); });
        };
        CPPUNIT_ASSERT_MESSAGE(withSeed("a proxy does not start"), runLoopUntil(areStarted, StartLimit));
        for (const std::size_t index : indices) {
            Proxy &proxy = m_proxies[index];
            proxy.callers = proxy.process->addressOf("callers").value_or(SocketAddress {});
            proxy.control = proxy.process->addressOf("control").value_or(SocketAddress {});
            proxy.peers = proxy.process->addressOf("peers").value_or(SocketAddress {});
        }
    }
    void signal(const Indices &indices, int number)
    {
        for (const std::size_t index : indices) {
            number == SIGKILL ? m_proxies.at(index).process->kill() : m_proxies.at(index).process->signal(number);
        }
    }

    /// Waits until the processes have ended.
    void awaitEnd(const Indices &indices)
    {
        for (const std::size_t index : indices) {
            CPPUNIT_ASSERT_MESSAGE(withSeed("a proxy does not end"), m_proxies.at(index).process->waitForExit(StartLimit));
        }
    }

    Indices all() const
    {
        Indices indices(m_proxies.size());
        for (std::size_t index = 0; index < indices.size(); ++index) {
            indices[index] = index;
        }
        return indices;
    }
    Indices allBut(const Indices &excluded) const
    {
        Indices indices = all();
        std::erase_if(indices, [&](std::size_t index) { return std::find(excluded.begin(), excluded.end(), index) != excluded.end(); });
        return indices;
    }
    Indices readers()
    {
        Indices readers;
        const auto statuses = observe(all());
        for (std::size_t index = 0; index < statuses.size(); ++index) {
            if (statuses[index] && statuses[index]->isReader) {
                readers.push_back(index);
            }
        }
        return readers;
    }

    /// What the proxies report. Fails where one holds a lower version than before in the same lifetime.
    std::vector<std::optional<ProxyStatus>> observe(const Indices &indices)
    {
        std::vector<HttpCall> calls;
        for (const std::size_t index : indices) {
            HttpCall call;
            call.url = "http://" + m_proxies.at(index).control.toString() + "/v1/operator/status";
            calls.push_back(std::move(call));
        }
        const std::vector<HttpReply> replies = m_http.fetchAll(std::move(calls));
        std::vector<std::optional<ProxyStatus>> statuses;
        for (std::size_t i = 0; i < indices.size(); ++i) {
            const Result<ProxyStatus> status = ProxyStatus::tryParse(replies[i].body);
            statuses.push_back(isError(status) ? std::nullopt : std::optional(valueOf(status)));
            Proxy &proxy = m_proxies[indices[i]];
            if (statuses.back()) {
                CPPUNIT_ASSERT_MESSAGE(withSeed(proxy.id + " went back"), statuses.back()->version >= proxy.highestVersion);
                proxy.highestVersion = statuses.back()->version;
            }
        }
        return statuses;
    }
    /// Waits until each of the proxies holds \a version at least, and fails after \a limit.
    void requireHeld(const Indices &indices, std::uint64_t version, Duration limit)
    {
        const auto areCurrent = [&] {
            const auto statuses = observe(indices);
            return std::all_of(statuses.begin(), statuses.end(), [&](const auto &status) { return status && status->version >= version; });
        };
        const bool isMet = waitUntil(areCurrent, limit);
        CPPUNIT_ASSERT_MESSAGE(withSeed("version " + std::to_string(version) + " is not in force: " + describeVersions(indices)), isMet);
    }
    /// Waits until the proxies say that they are ready, and returns the versions that they held at that moment.
    std::map<std::size_t, std::uint64_t> awaitReady(const Indices &indices)
    {
        std::map<std::size_t, std::uint64_t> versions;
        const auto areReady = [&] {
            const auto statuses = observe(indices);
            for (std::size_t i = 0; i < indices.size(); ++i) {
                if (statuses[i] && statuses[i]->isReady) {
                    versions.try_emplace(indices[i], statuses[i]->version);
                }
            }
            return versions.size() == indices.size();
        };
        CPPUNIT_ASSERT_MESSAGE(withSeed("a proxy does not become ready"), waitUntil(areReady, StartLimit));
        return versions;
    }

    /// Waits until each proxy knows all others, so that the roles no longer change.
    void awaitMembers()
    {
        const auto areKnown = [&] {
            const auto statuses = observe(all());
            return std::all_of(
                statuses.begin(), statuses.end(), [&](const auto &status) { return status && status->members == m_proxies.size(); });
        };
        CPPUNIT_ASSERT_MESSAGE(withSeed("a proxy does not know its members"), waitUntil(areKnown, StartLimit));
    }

    /// Status of a request on the route; 404 where the proxy has none, 503 where the service has no upstream.
    unsigned request(std::size_t index, const std::string &path)
    {
        HttpCall call;
        call.url = "http://" + m_proxies.at(index).callers.toString() + path;
        call.headers = {{"host", Host}, {"request-id", "0123456789abcdef"}, {"deadline-ms", "1000"}};
        return m_http.fetch(std::move(call)).status;
    }

    /// A call of the upstream beside a proxy; \a call is "heartbeat" or "deregister". Returns the status of the answer.
    unsigned report(std::size_t index, const std::string &upstreamId, const std::string &call, JsonValue::Object body)
    {
        HttpCall request;
        request.method = "POST";
        request.url = "http://" + m_proxies.at(index).control.toString() + "/-/instances/" + upstreamId + '/' + call;
        request.headers = {{"content-type", "application/json"}};
        request.body = JsonValue(std::move(body)).toText();
        request.timeout = std::chrono::seconds(1);
        return m_http.fetch(std::move(request)).status;
    }

    /// Lets time pass for the store and the test.
    static void wait(Duration length)
    {
        runLoopUntil([] { return false; }, length);
    }
    static bool waitUntil(const std::function<bool()> &isDone, Duration limit)
    {
        const Clock clock = Clock::system();
        const TimePoint deadline = clock.now() + limit;
        while (clock.now() < deadline) {
            if (isDone()) {
                return true;
            }
            wait(std::chrono::milliseconds(20));
        }
        return false;
    }

    StoreStandIn store;

private:
    struct Proxy
    {
        std::string id;
        std::string ip;
        std::unique_ptr<LabProcess> process;
        SocketAddress callers;
        SocketAddress control;
        SocketAddress peers;
        std::uint64_t highestVersion = 0;
    };

    static constexpr const char *Host = "desk.example";
    static constexpr Duration StartLimit = std::chrono::seconds(20);

    /// Each proxy has a loopback address of its own, so that its ports are free when it starts again.
    static std::string ipOf(std::size_t number)
    {
        constexpr int FirstNet = 16;
        constexpr int Nets = 200;
        return "127." + std::to_string(FirstNet + getpid() % Nets) + ".7." + std::to_string(1 + number);
    }

    std::string settingsOf(const Proxy &proxy) const
    {
        const auto listen = [&proxy](const SocketAddress &used) {
            return SocketAddress {proxy.ip, used.port}.toString();
        };
        return JsonValue(
            JsonValue::Object {
                {"proxy_id", proxy.id},
                {"data_centre", "tivoli"},
                {"region", "munster"},
                {"listen",
                    JsonValue::Object {
                        {"callers", listen(proxy.callers)}, {"control", listen(proxy.control)}, {"peers", listen(proxy.peers)}}},
                {"platform", JsonValue::Object {{"url", "http://" + store.address().toString()}, {"timeout_ms", 1000}}},
                {"edge", "platform"},
                {"distribution", JsonValue::Object {{"readers", 4}}},
            })
            .toText();
    }

    std::string describeVersions(const Indices &indices)
    {
        std::string text;
        const auto statuses = observe(indices);
        for (std::size_t i = 0; i < indices.size(); ++i) {
            text += m_proxies[indices[i]].id + " holds " + (statuses[i] ? std::to_string(statuses[i]->version) : "nothing known") + "; ";
        }
        return text;
    }

    TemporaryFolder m_folder;
    LabHttp m_http;
    std::vector<Proxy> m_proxies;
};

} // namespace Fuchsiastep
