#include <LibProxy/ProxySettings.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <sstream>
#include <utility>

namespace Fuchsiastep {

namespace {

constexpr std::int64_t MaximumWaitMs = 600'000;

class SettingsParser
{
public:
    explicit SettingsParser(std::vector<Error> &errors) : m_errors(errors)
    { }

    ProxySettings parse(const JsonValue &value)
    {
        ProxySettings settings;
        JsonObjectReader reader(value, "$", m_errors);
        settings.proxyId = name(reader, "proxy_id");
        settings.dataCentre = name(reader, "data_centre");
        settings.region = name(reader, "region");
        constexpr double MaximumLinkMbps = 1e6;
        settings.linkMbps = static_cast<std::uint32_t>(std::ceil(reader.optionalNumber("link_mbps", 0, 0, MaximumLinkMbps)));
        parseListen(reader, settings.listen);
        parsePlatform(reader, settings.platform);
        parseEdge(reader, settings.edge);
        parseUpstream(reader, settings.upstream);
        parseRetries(reader, settings.retries);
        settings.dataCentres = reader.optionalStrings("data_centres");
        parseWorkspaces(reader, settings);
        parseRollouts(reader, settings.rollouts);
        parseSeeds(reader, settings.listen.peers.port, settings.seeds);
        parseDistribution(reader, settings.distribution);
        parseMembership(reader, settings.membership);
        parsePlacement(reader, settings.placement);
        parseLimits(reader, settings.limits);
        const std::string level = reader.optionalString("log_level", "info");
        if (!tryParseLogLevel(level, settings.logLevel)) {
            report(reader.pathOf("log_level"), "must be debug, info, warning or error");
        }
        const std::string output = reader.optionalString("log_output", "stderr");
        if (output != "stderr" && output != "stdout") {
            report(reader.pathOf("log_output"), "must be stderr or stdout");
        }
        settings.logOutput = output == "stdout" ? LogOutput::StandardOutput : LogOutput::StandardError;
        reader.finish();
        return settings;
    }

private:
    void report(const std::string &path, std::string_view text)
    {
        m_errors.push_back({ErrorCode::SettingsOutOfRange, path + ": " + std::string(text)});
    }

    std::string name(JsonObjectReader &reader, std::string_view key)
    {
        constexpr std::size_t MaximumNameBytes = 63;
        std::string text = reader.requiredString(key);
        if (text.size() > MaximumNameBytes || text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789.-") != std::string::npos) {
            report(reader.pathOf(key), "must be at most 63 of a-z, 0-9, '.' and '-'");
        }
        return text;
    }

    SocketAddress address(const std::string &path, const std::string &text)
    {
        // A missing or empty address is reported already.
        if (text.empty()) {
            return {};
        }
        const Result<SocketAddress> parsed = SocketAddress::tryParse(text);
        if (isError(parsed)) {
            report(path, "must be IP:PORT");
            return {};
        }
        return valueOf(parsed);
    }

    static Duration milliseconds(JsonObjectReader &reader, std::string_view key, Duration fallback, std::int64_t minimum)
    {
        const auto fallbackMs = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
        return std::chrono::milliseconds(reader.optionalInteger(key, fallbackMs, minimum, MaximumWaitMs));
    }

    void parseListen(JsonObjectReader &parent, ListenSettings &listen)
    {
        const JsonValue *value = parent.requiredValue("listen");
        if (value == nullptr) {
            return;
        }
        JsonObjectReader reader(*value, parent.pathOf("listen"), m_errors);
        listen.callers = address(reader.pathOf("callers"), reader.requiredString("callers"));
        listen.control = address(reader.pathOf("control"), reader.requiredString("control"));
        listen.peers = address(reader.pathOf("peers"), reader.requiredString("peers"));
        if (reader.has("readiness")) {
            listen.readiness = address(reader.pathOf("readiness"), reader.requiredString("readiness"));
        }
        if (reader.has("metrics")) {
            listen.metrics = address(reader.pathOf("metrics"), reader.requiredString("metrics"));
        }
        reader.finish();
    }

    void parseEdge(JsonObjectReader &parent, EdgeKind &edge)
    {
        static constexpr std::array Names {std::pair {EdgeKind::Native, "native"}, std::pair {EdgeKind::Platform, "platform"}};
        const std::string text = parent.optionalString("edge", "native");
        const auto *found = std::find_if(Names.begin(), Names.end(), [&](const auto &entry) { return text == entry.second; });
        if (found == Names.end()) {
            report(parent.pathOf("edge"), "must be native or platform");
            return;
        }
        edge = found->first;
    }

    void parseUpstream(JsonObjectReader &parent, UpstreamSettings &upstream)
    {
        const JsonValue *value = parent.optionalValue("upstream");
        if (value == nullptr) {
            return;
        }
        JsonObjectReader reader(*value, parent.pathOf("upstream"), m_errors);
        if (reader.has("address")) {
            upstream.address = address(reader.pathOf("address"), reader.requiredString("address"));
        }
        upstream.service = reader.optionalString("service");
        upstream.heartbeat = milliseconds(reader, "heartbeat_ms", upstream.heartbeat, 100);
        reader.finish();
    }

    void parseRetries(JsonObjectReader &parent, std::optional<RetryBudgets::FleetBudget> &retries)
    {
        constexpr double MaximumRatio = 10;
        constexpr double MaximumSlack = 1e6;
        const JsonValue *value = parent.optionalValue("retries");
        if (value == nullptr) {
            return;
        }
        JsonObjectReader reader(*value, parent.pathOf("retries"), m_errors);
        retries = RetryBudgets::FleetBudget {};
        retries->ratio = reader.optionalNumber("ratio", retries->ratio, 0, MaximumRatio);
        retries->slack = reader.optionalNumber("slack", retries->slack, 0, MaximumSlack);
        retries->window = milliseconds(reader, "window_ms", retries->window, 100);
        reader.finish();
    }

    void parseWorkspaces(JsonObjectReader &parent, ProxySettings &settings)
    {
        constexpr double MaximumOverage = 10;
        constexpr std::int64_t MaximumSlack = 1'000'000;
        const JsonValue *value = parent.optionalValue("workspaces");
        if (value == nullptr) {
            return;
        }
        JsonObjectReader reader(*value, parent.pathOf("workspaces"), m_errors);
        WorkspaceSettings workspaces;
        workspaces.isRevocationStrict = reader.optionalBool("strict_revocation", workspaces.isRevocationStrict);
        workspaces.revocationTime = milliseconds(reader, "revocation_ms", workspaces.revocationTime, 1000);
        workspaces.quota.window = milliseconds(reader, "quota_window_ms", workspaces.quota.window, 100);
        workspaces.quota.overage = reader.optionalNumber("quota_overage", workspaces.quota.overage, 0, MaximumOverage);
        workspaces.quota.slack = static_cast<std::uint64_t>(
            reader.optionalInteger("quota_slack", static_cast<std::int64_t>(workspaces.quota.slack), 0, MaximumSlack));
        workspaces.quota.dataCentres = std::max<std::size_t>(1, settings.dataCentres.size());
        reader.finish();
        settings.workspaces = workspaces;
    }

    void parseRollouts(JsonObjectReader &parent, std::optional<RolloutSettings> &rollouts)
    {
        constexpr std::int64_t MaximumSlack = 1'000'000;
        const JsonValue *value = parent.optionalValue("rollouts");
        if (value == nullptr) {
            return;
        }
        JsonObjectReader reader(*value, parent.pathOf("rollouts"), m_errors);
        rollouts = RolloutSettings {};
        rollouts->exposureShare = reader.optionalNumber("exposure_share", rollouts->exposureShare, 0, 1);
        rollouts->exposureSlack = static_cast<std::uint64_t>(
            reader.optionalInteger("exposure_slack", static_cast<std::int64_t>(rollouts->exposureSlack), 0, MaximumSlack));
        rollouts->rollbackTime = milliseconds(reader, "rollback_ms", rollouts->rollbackTime, 100);
        reader.finish();
    }

    void parsePlatform(JsonObjectReader &parent, PlatformSettings &platform)
    {
        const JsonValue *value = parent.requiredValue("platform");
        if (value == nullptr) {
            return;
        }
        JsonObjectReader reader(*value, parent.pathOf("platform"), m_errors);
        platform.url = reader.requiredString("url");
        if (!platform.url.empty() && !platform.url.starts_with("http://") && !platform.url.starts_with("https://")) {
            report(reader.pathOf("url"), "must begin with http:// or https://");
        }
        platform.timeout = milliseconds(reader, "timeout_ms", platform.timeout, 10);
        reader.finish();
    }

    void parseSeeds(JsonObjectReader &parent, std::uint16_t peersPort, std::vector<SocketAddress> &seeds)
    {
        std::size_t index = 0;
        for (const std::string &text : parent.optionalStrings("seeds")) {
            seeds.push_back(address(parent.pathOf("seeds") + '[' + std::to_string(index++) + ']', text));
        }
        // Instances whose peers listen on the same port as this proxy.
        for (const std::string &text : parent.optionalStrings("seed_hosts")) {
            const SocketAddress host = address(parent.pathOf("seed_hosts") + '[' + std::to_string(index++) + ']', text);
            seeds.push_back({host.ip, peersPort});
        }
    }

    void parseDistribution(JsonObjectReader &parent, DistributionSettings &distribution)
    {
        const JsonValue *value = parent.optionalValue("distribution");
        if (value == nullptr) {
            return;
        }
        JsonObjectReader reader(*value, parent.pathOf("distribution"), m_errors);
        distribution.batchWindow = milliseconds(reader, "batch_ms", distribution.batchWindow, 0);
        distribution.readerPollInterval = milliseconds(reader, "reader_poll_ms", distribution.readerPollInterval, 10);
        distribution.readersPerDataCentre =
            static_cast<std::uint32_t>(reader.optionalInteger("readers", distribution.readersPerDataCentre, 1, 16));
        distribution.fanOut = static_cast<std::uint32_t>(reader.optionalInteger("fan_out", distribution.fanOut, 2, 64));
        reader.finish();
    }

    void parseMembership(JsonObjectReader &parent, MembershipSettings &membership)
    {
        const JsonValue *value = parent.optionalValue("membership");
        if (value == nullptr) {
            return;
        }
        JsonObjectReader reader(*value, parent.pathOf("membership"), m_errors);
        membership.probeInterval = milliseconds(reader, "probe_ms", membership.probeInterval, 50);
        membership.probeTimeout = milliseconds(reader, "probe_timeout_ms", membership.probeTimeout, 10);
        if (membership.probeTimeout >= membership.probeInterval) {
            report(reader.pathOf("probe_timeout_ms"), "must be below probe_ms");
        }
        reader.finish();
    }

    void parsePlacement(JsonObjectReader &parent, PlacementSettings &placement)
    {
        constexpr std::int64_t MaximumSample = 64;
        const JsonValue *value = parent.optionalValue("placement");
        if (value == nullptr) {
            return;
        }
        JsonObjectReader reader(*value, parent.pathOf("placement"), m_errors);
        placement.sampleSize = static_cast<std::uint32_t>(reader.optionalInteger("sample", placement.sampleSize, 0, MaximumSample));
        reader.finish();
    }

    void parseLimits(JsonObjectReader &parent, LimitSettings &limits)
    {
        constexpr std::int64_t MaximumRequestBodyBytes = 1536 * 1024; // A request travels in one frame of 2 MiB with its header fields.
        constexpr std::int64_t MaximumAnswerBodyBytes = 256 * 1024 * 1024;
        constexpr double MaximumGraceSeconds = 600;
        constexpr double MaximumMemoryMegabytes = 1e6;
        constexpr double BytesPerMegabyte = 1e6;
        const JsonValue *value = parent.optionalValue("limits");
        if (value == nullptr) {
            return;
        }
        JsonObjectReader reader(*value, parent.pathOf("limits"), m_errors);
        limits.requestBodyBytes = static_cast<std::uint64_t>(
            reader.optionalInteger("request_body_bytes", static_cast<std::int64_t>(limits.requestBodyBytes), 0, MaximumRequestBodyBytes));
        limits.answerBodyBytes = static_cast<std::uint64_t>(
            reader.optionalInteger("answer_body_bytes", static_cast<std::int64_t>(limits.answerBodyBytes), 1024, MaximumAnswerBodyBytes));
        limits.requestsInFlight =
            static_cast<std::uint32_t>(reader.optionalInteger("requests_in_flight", limits.requestsInFlight, 1, 1'000'000));
        limits.queuePerSlot = static_cast<std::uint32_t>(reader.optionalInteger("queue_per_slot", limits.queuePerSlot, 0, 1000));
        limits.queueTime = milliseconds(reader, "queue_ms", limits.queueTime, 0);
        limits.drainTime = milliseconds(reader, "drain_ms", limits.drainTime, 0);
        limits.lingerTime = milliseconds(reader, "linger_ms", limits.lingerTime, 0);
        const double memoryMegabytes = reader.optionalNumber("memory_mb", 0, 0, MaximumMemoryMegabytes);
        if (memoryMegabytes > 0) {
            limits.bufferBytes = LimitSettings::bufferBytesWithin(static_cast<std::uint64_t>(memoryMegabytes * BytesPerMegabyte));
        }
        if (memoryMegabytes > 0) {
            limits.unfinishedRequestBytes =
                LimitSettings::unfinishedBytesWithin(static_cast<std::uint64_t>(memoryMegabytes * BytesPerMegabyte));
        }
        const double unfinishedMegabytes = reader.optionalNumber("unfinished_requests_mb", 0, 0, MaximumMemoryMegabytes);
        if (unfinishedMegabytes > 0) {
            limits.unfinishedRequestBytes = static_cast<std::uint64_t>(unfinishedMegabytes * BytesPerMegabyte);
        }
        constexpr std::int64_t MaximumDescriptors = 10'000'000;
        const std::int64_t descriptors = reader.optionalInteger("descriptors", 0, 0, MaximumDescriptors);
        if (descriptors > 0) {
            limits.clientConnections = LimitSettings::connectionsWithin(static_cast<std::uint32_t>(descriptors));
        }
        limits.clientConnections =
            static_cast<std::uint32_t>(reader.optionalInteger("client_connections", limits.clientConnections, 1, MaximumDescriptors));
        limits.answerBodyBytes = std::min(limits.answerBodyBytes, limits.bufferBytes);
        const double graceSeconds = reader.optionalNumber("grace_s", 0, 0, MaximumGraceSeconds);
        if (graceSeconds > 0) {
            limits.drainTime =
                LimitSettings::drainTimeWithin(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(graceSeconds)));
        }
        reader.finish();
    }

    std::vector<Error> &m_errors;
};

} // namespace

Result<ProxySettings> ProxySettings::tryParse(std::string_view text, std::vector<Error> &errors)
{
    const Result<JsonValue> value = JsonValue::tryParse(text);
    if (isError(value)) {
        errors.push_back({ErrorCode::SettingsMalformed, errorOf(value).detail});
        return errors.front();
    }
    ProxySettings settings = SettingsParser(errors).parse(valueOf(value));
    if (!errors.empty()) {
        return errors.front();
    }
    return settings;
}

Result<ProxySettings> ProxySettings::tryLoad(const std::string &path, std::vector<Error> &errors)
{
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    if (!file) {
        errors.push_back({ErrorCode::SettingsUnreadable, path});
        return errors.front();
    }
    return tryParse(content.str(), errors);
}

} // namespace Fuchsiastep
