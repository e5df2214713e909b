#include "Experiment.h"
#include "Figures.h"
#include "NaiveFleet.h"

namespace Fuchsiastep {

namespace {

constexpr Duration QuietSpell = std::chrono::seconds(10);
constexpr int InitialObjects = 10;
constexpr int SingleChanges = 10;
constexpr int BurstChanges = 50;

/// The parts of the convergence experiment that make sense without membership.
class NaiveExperiment
{
public:
    explicit NaiveExperiment(const ExperimentOptions &options)
        : m_pollers(options.proxies > 0 ? options.proxies : options.plan.upstreamCount()), m_fleet(options.programFolder, m_pollers)
    { }

    Result<Report> tryRun()
    {
        m_report.add("proxies", static_cast<double>(m_pollers), "");
        Result<Done> done = m_fleet.tryStart();
        if (!isError(done)) {
            done = tryChanges("initial", InitialObjects, false);
        }
        if (!isError(done)) {
            measureQuiet();
            done = tryChanges("single changes", SingleChanges, true);
        }
        if (!isError(done)) {
            done = tryChanges("burst of 50", BurstChanges, false);
        }
        if (!isError(done)) {
            done = tryHerd();
        }
        return isError(done) ? Result<Report>(errorOf(done)) : m_report;
    }

private:
    void measureQuiet()
    {
        auto before = m_fleet.counters();
        runLoopUntil([] { return false; }, QuietSpell);
        auto after = m_fleet.counters();
        const double seconds = std::chrono::duration<double>(QuietSpell).count();
        const double bytes = static_cast<double>(after["bytes_out"] + after["bytes_in"] - before["bytes_out"] - before["bytes_in"]);
        m_report.add("quiet: control bytes (bodies only), mean proxy", bytes / seconds / static_cast<double>(m_pollers), "B/s");
        m_report.add(
            "quiet: platform reads", static_cast<double>(FleetClient::readsOf(after) - FleetClient::readsOf(before)) / seconds, "1/s");
    }

    /// Commits changes, and waits for their adoption after each one or after all.
    Result<Done> tryChanges(const std::string &name, int count, bool waitsForEach)
    {
        Figures times;
        for (int number = 0; number < count; ++number) {
            const Result<std::int64_t> committed = m_fleet.tryCommit(name + std::to_string(number));
            if (isError(committed)) {
                return errorOf(committed);
            }
            if (!waitsForEach && number + 1 < count) {
                continue;
            }
            const Result<std::int64_t> adopted = m_fleet.tryAwaitAdoption();
            if (isError(adopted)) {
                return errorOf(adopted);
            }
            times.add(static_cast<double>(valueOf(adopted) - valueOf(committed)));
        }
        m_report.add(name + ": accepted to held by all, median", times.median(), "ms");
        m_report.add(name + ": accepted to held by all, longest", times.maximum(), "ms");
        return Done {};
    }

    Result<Done> tryHerd()
    {
        const std::uint64_t before = FleetClient::readsOf(m_fleet.counters());
        const std::int64_t start = Clock::system().unixMilliseconds();
        Result<Done> done = m_fleet.tryRestartPollers();
        const Result<std::int64_t> adopted = m_fleet.tryAwaitAdoption();
        if (isError(done) || isError(adopted)) {
            return isError(done) ? done : Result<Done>(errorOf(adopted));
        }
        m_report.add("herd: start to all with the newest version", static_cast<double>(valueOf(adopted) - start), "ms");
        m_report.add("herd: platform reads until then", static_cast<double>(FleetClient::readsOf(m_fleet.counters()) - before), "");
        return done;
    }

    std::size_t m_pollers;
    NaiveFleet m_fleet;
    Report m_report;
};

} // namespace

Result<Report> tryRunNaive(const ExperimentOptions &options)
{
    return NaiveExperiment(options).tryRun();
}

} // namespace Fuchsiastep
