#include "Experiment.h"
#include "Figures.h"
#include "ReadRateWatch.h"
#include "UsageWindow.h"

#include <algorithm>
#include <csignal>
#include <optional>

namespace Fuchsiastep {

namespace {

constexpr Duration QuietSpell = std::chrono::seconds(10);
constexpr int SingleChanges = 10;
constexpr int BurstChanges = 50;
constexpr std::size_t ChurnedUpstreams = 4;
constexpr Duration HeldLimit = std::chrono::seconds(60);
constexpr Duration HerdLimit = std::chrono::seconds(120);

/// The parts of the experiment, in their order; each adds its figures to the report.
class ConvergenceExperiment
{
public:
    explicit ConvergenceExperiment(const ExperimentOptions &options) : m_lab(options.plan, options.fleetOptions())
    { }

    Result<Report> tryRun()
    {
        Result<Done> done = m_lab.tryOpen();
        m_report.add("proxies", static_cast<double>(m_lab.fleet.size()), "");
        using Part = Result<Done> (ConvergenceExperiment::*)();
        for (const Part part : {&ConvergenceExperiment::tryQuiet,
                 &ConvergenceExperiment::trySingleChanges,
                 &ConvergenceExperiment::tryBurst,
                 &ConvergenceExperiment::tryChurn,
                 &ConvergenceExperiment::tryHerd}) {
            if (isError(done)) {
                return errorOf(done);
            }
            done = (this->*part)();
        }
        return isError(done) ? Result<Report>(errorOf(done)) : m_report;
    }

private:
    Result<Done> tryQuiet()
    {
        // The news of the members that joined still travels in the first spell.
        for (const std::string name : {"after start", "quiet"}) {
            ReadRateWatch reads(m_lab.client);
            UsageWindow usage(m_lab.fleet, m_lab.client);
            runLoopUntil([] { return false; }, QuietSpell);
            usage.close();
            reads.sample();
            usage.addTo(m_report, name);
            m_report.add(name + ": platform reads", reads.meanPerSecond(), "1/s");
        }
        return Done {};
    }

    Result<Done> trySubmitAndWait(const std::string &name, const std::string &value, Figures &times, Figures *submitTimes)
    {
        const Result<AcceptedChange> change = m_lab.client.trySubmitLabel(m_next++ % m_lab.fleet.size(), name, value);
        if (isError(change)) {
            return errorOf(change);
        }
        m_lab.version = valueOf(change).version;
        if (!m_lab.client.waitUntilHeld(m_lab.fleet.running(), m_lab.version, HeldLimit)) {
            return Error {ErrorCode::WaitTimeout, "not every proxy holds version " + std::to_string(m_lab.version)};
        }
        times.add(m_lab.convergenceMs(valueOf(change)));
        if (submitTimes != nullptr) {
            submitTimes->add(static_cast<double>(valueOf(change).acceptedUnixMs - valueOf(change).submittedUnixMs));
        }
        return Done {};
    }

    Result<Done> trySingleChanges()
    {
        Figures times;
        Figures submitTimes;
        UsageWindow usage(m_lab.fleet, m_lab.client);
        for (int number = 0; number < SingleChanges; ++number) {
            Result<Done> done = trySubmitAndWait(m_lab.fleet.plan().services.front().name, std::to_string(number), times, &submitTimes);
            if (isError(done)) {
                return done;
            }
        }
        usage.close();
        m_report.add("single changes: accepted to held by all, median", times.median(), "ms");
        m_report.add("single changes: accepted to held by all, longest", times.maximum(), "ms");
        m_report.add("single changes: submitted to accepted, median", submitTimes.median(), "ms");
        m_report.add("single changes: control bytes a change, mean proxy", usage.bytesPerProxy() / SingleChanges, "B");
        return Done {};
    }

    Result<Done> tryBurst()
    {
        UsageWindow usage(m_lab.fleet, m_lab.client);
        std::optional<AcceptedChange> last;
        std::int64_t firstMs = 0;
        for (int number = 0; number < BurstChanges; ++number) {
            const Result<AcceptedChange> change =
                m_lab.client.trySubmitLabel(m_next++ % m_lab.fleet.size(), "burst-" + std::to_string(number), "1");
            if (isError(change)) {
                return errorOf(change);
            }
            firstMs = last ? firstMs : valueOf(change).submittedUnixMs;
            last = valueOf(change);
        }
        m_lab.version = last->version;
        if (!m_lab.client.waitUntilHeld(m_lab.fleet.running(), m_lab.version, HeldLimit)) {
            return Error {ErrorCode::WaitTimeout, "not every proxy holds the burst"};
        }
        usage.close();
        m_report.add("burst of 50: submitted in", static_cast<double>(last->acceptedUnixMs - firstMs), "ms");
        m_report.add("burst of 50: last accepted to held by all", m_lab.convergenceMs(*last), "ms");
        m_report.add("burst of 50: control bytes a change, mean proxy", usage.bytesPerProxy() / BurstChanges, "B");
        return Done {};
    }

    Result<Done> tryChurn()
    {
        Fleet::Indices churned = m_lab.fleet.ofService(m_lab.fleet.plan().services.front().name);
        churned.resize(std::min(churned.size(), ChurnedUpstreams));
        std::size_t upstreams = 0;
        for (const std::size_t index : m_lab.fleet.all()) {
            upstreams += m_lab.fleet.at(index).isUpstreamRunning() ? 1 : 0;
        }
        UsageWindow usage(m_lab.fleet, m_lab.client);
        const Clock clock = Clock::system();
        const TimePoint killed = clock.now();
        m_lab.fleet.signalUpstreams(churned, SIGKILL);
        Result<Done> done = m_lab.tryAwaitEndpoints(upstreams - churned.size());
        const TimePoint gone = clock.now();
        if (!isError(done)) {
            done = m_lab.fleet.tryStartUpstreams(churned);
        }
        const TimePoint started = clock.now();
        if (!isError(done)) {
            done = m_lab.tryAwaitEndpoints(upstreams);
        }
        const TimePoint back = clock.now();
        usage.close();
        m_report.add("churn: upstreams killed and started", static_cast<double>(churned.size()), "");
        m_report.add("churn: killed to gone everywhere", milliseconds(gone - killed), "ms");
        m_report.add("churn: started to known everywhere", milliseconds(back - started), "ms");
        usage.addTo(m_report, "churn");
        return done;
    }

    Result<Done> tryHerd()
    {
        const Clock clock = Clock::system();
        m_lab.fleet.signalProxies(m_lab.fleet.all(), SIGKILL);
        ReadRateWatch reads(m_lab.client);
        const TimePoint start = clock.now();
        Result<Done> done = m_lab.fleet.tryStartProxies(m_lab.fleet.all());
        const TimePoint listening = clock.now();
        if (isError(done)) {
            return done;
        }
        m_lab.client.setObserver([&reads](const FleetClient::Statuses &) { reads.sample(); });
        const std::uint64_t version = m_lab.version;
        const bool isBack = m_lab.client.waitUntil(
            m_lab.fleet.all(), [version](const ProxyStatus &status) { return status.isReady && status.version >= version; }, HerdLimit);
        m_lab.client.setObserver({});
        if (!isBack) {
            return Error {ErrorCode::WaitTimeout, "the fleet is not ready after its restart"};
        }
        m_report.add("herd: processes started in", milliseconds(listening - start), "ms");
        m_report.add("herd: start to all ready with the newest version", milliseconds(clock.now() - start), "ms");
        m_report.add("herd: platform reads until then", static_cast<double>(reads.reads()), "");
        m_report.add("herd: most platform reads in a second", reads.peakPerSecond(), "1/s");
        return Done {};
    }

    static double milliseconds(Duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    LabSession m_lab;
    Report m_report;
    std::size_t m_next = 0;
};

} // namespace

Result<Report> tryRunConvergence(const ExperimentOptions &options)
{
    return ConvergenceExperiment(options).tryRun();
}

} // namespace Fuchsiastep
