#pragma once

#include "DocumentFleet.h"

#include <Support/ScriptedUpstream.h>

namespace Fuchsiastep {

/// An upstream of the service "order-desk" beside a proxy, which reports itself when the test says so. It answers each request
/// and counts them.
class ReportingUpstream
{
public:
    /// Unix milliseconds of the first start.
    static constexpr std::int64_t FirstStart = 1'700'000'000'000;

    ReportingUpstream(DocumentFleet &fleet, std::size_t proxy)
        : m_fleet(fleet), m_proxy(proxy), m_server([this](std::size_t, std::size_t) {
            ++m_arrivals;
            return ScriptedUpstream::Reply {"HTTP/1.1 200 OK\r\nRequest-Id: 0123456789abcdef\r\nContent-Length: 4\r\n\r\ndone"};
        })
    { }

    /// What another writer reports of the same address.
    struct Foreign
    {
        std::string upstreamId = "i-other";
        std::string service = "order-desk";
        std::int64_t started = FirstStart;
        std::string state = "ready";
        std::uint64_t sequence = 1;
    };

    /// The status of the answer.
    unsigned report(const std::string &state, std::uint64_t sequence)
    {
        return report({m_id, "order-desk", m_started, state, sequence});
    }
    unsigned report(const Foreign &foreign)
    {
        return m_fleet.report(m_proxy,
            foreign.upstreamId,
            "heartbeat",
            {{"address", m_server.address().toString()},
                {"born", foreign.started},
                {"info", JsonValue::Object {{"service", foreign.service}, {"version", "v1"}, {"zone", "tivoli"}, {"maxConcurrency", 4}}},
                {"status", JsonValue::Object {{"state", foreign.state}, {"sequence", foreign.sequence}, {"coldLeftMs", 0}}}});
    }
    unsigned deregister()
    {
        return m_fleet.report(m_proxy, m_id, "deregister", {{"born", m_started}});
    }
    unsigned deregisterWithoutStart()
    {
        return m_fleet.report(m_proxy, m_id, "deregister", {});
    }
    /// The next start, at the present time.
    void startAnew(const std::string &id)
    {
        m_id = id;
        m_started = Clock::system().unixMilliseconds();
    }
    const std::string &id() const
    {
        return m_id;
    }
    /// Whether a request of a caller at another proxy reaches the upstream.
    bool isReached()
    {
        const std::size_t before = m_arrivals;
        m_fleet.request(m_proxy + 1, "/orders/1");
        return m_arrivals > before;
    }

private:
    DocumentFleet &m_fleet;
    std::size_t m_proxy;
    std::string m_id = "i-desk";
    std::int64_t m_started = FirstStart;
    std::size_t m_arrivals = 0;
    ScriptedUpstream m_server;
};

} // namespace Fuchsiastep
