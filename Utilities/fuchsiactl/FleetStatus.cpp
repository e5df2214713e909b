#include <fuchsiactl/FleetStatus.h>

#include <fuchsiactl/TextTable.h>

#include <algorithm>

namespace Fuchsiastep::ControlTool {

static constexpr std::size_t NamesInSummary = 10;

std::uint64_t FleetStatus::Row::version() const
{
    return status ? status->version : member.version;
}

static bool isSilent(const FleetStatus::Row &row)
{
    return row.member.isServing() && !row.status;
}

FleetStatus::FleetStatus(std::vector<Row> rows) : m_rows(std::move(rows))
{
    for (const Row &row : m_rows) {
        m_newestVersion = std::max({m_newestVersion, row.member.version, row.version(), row.status ? row.status->knownVersion : 0});
    }
}

std::uint64_t FleetStatus::newestVersion() const
{
    return m_newestVersion;
}

bool FleetStatus::isLagging(const Row &row) const
{
    return row.member.isServing() && row.version() < m_newestVersion;
}

bool FleetStatus::isCurrent() const
{
    return std::none_of(m_rows.begin(), m_rows.end(), [this](const Row &row) { return isLagging(row) || isSilent(row); });
}

static std::string readyText(const FleetStatus::Row &row)
{
    if (!row.status) {
        return row.member.isLive() ? "no answer" : "";
    }
    if (row.status->isDraining) {
        return "draining";
    }
    return row.status->isReady ? "yes" : "no";
}

/// "; lagging (3): a, b, c", with a bounded number of names.
static std::string nameProxies(const std::vector<std::string> &names, const std::string &what)
{
    if (names.empty()) {
        return {};
    }
    std::string text = "; " + what + " (" + std::to_string(names.size()) + "): ";
    for (std::size_t index = 0; index < std::min(names.size(), NamesInSummary); ++index) {
        text += (index > 0 ? ", " : "") + names[index];
    }
    return text + (names.size() > NamesInSummary ? ", ..." : "");
}

std::string FleetStatus::summary() const
{
    std::vector<std::string> lagging;
    std::vector<std::string> silent;
    std::size_t serving = 0;
    for (const Row &row : m_rows) {
        serving += row.member.isServing() ? 1 : 0;
        if (isLagging(row)) {
            lagging.push_back(row.member.proxy);
        }
        if (isSilent(row)) {
            silent.push_back(row.member.proxy);
        }
    }
    std::string text = "newest version " + std::to_string(m_newestVersion) + ", " + std::to_string(serving) + " serving";
    text += isCurrent() ? "; none lags" : nameProxies(lagging, "lagging") + nameProxies(silent, "no answer");
    return text + '\n';
}

std::string FleetStatus::toText() const
{
    TextTable table({"PROXY", "DATA CENTRE", "STATE", "VERSION", "LAG", "READY"});
    for (const Row &row : m_rows) {
        const std::uint64_t lag = m_newestVersion - row.version();
        table.add({row.member.proxy,
            row.member.dataCentre,
            row.member.state,
            std::to_string(row.version()),
            std::to_string(lag),
            readyText(row)});
    }
    return table.toText() + summary();
}

JsonValue FleetStatus::toJson() const
{
    JsonValue::Array proxies;
    for (const Row &row : m_rows) {
        proxies.push_back(JsonValue::Object {
            {"proxy", row.member.proxy},
            {"data_centre", row.member.dataCentre},
            {"state", row.member.state},
            {"version", row.version()},
            {"lag", m_newestVersion - row.version()},
            {"answered", row.status.has_value()},
            {"ready", row.status && row.status->isReady},
        });
    }
    return JsonValue::Object {{"newest_version", m_newestVersion}, {"current", isCurrent()}, {"proxies", std::move(proxies)}};
}

} // namespace Fuchsiastep::ControlTool
