#include "UpstreamEmulator.h"

#include <algorithm>
#include <charconv>

namespace Fuchsiastep {

static constexpr std::uint32_t FullLoadPermille = 1000;
/// Requests take this much longer at the beginning of the cold start.
static constexpr double ColdStartFactor = 5;
/// Share of the service time that is drawn at random.
static constexpr double JitterShare = 0.5;
static constexpr std::uint64_t MaximumSlowMs = 60'000;
static constexpr std::uint64_t MaximumSizeBytes = std::uint64_t(64) << 20U;

/// The number N of a path "/name/N" or "/name/N/...", or nothing.
static std::optional<std::uint64_t> pathNumber(std::string_view path, std::string_view prefix, std::uint64_t maximum)
{
    if (!path.starts_with(prefix)) {
        return std::nullopt;
    }
    path.remove_prefix(prefix.size());
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(path.data(), path.data() + path.size(), number);
    const bool isComplete = parsed.ptr == path.data() + path.size() || *parsed.ptr == '/';
    if (parsed.ec != std::errc() || !isComplete) {
        return std::nullopt;
    }
    return std::min(number, maximum);
}

UpstreamEmulator::UpstreamEmulator(EmulatorSettings settings, const Clock &clock, std::uint64_t seed)
    : m_settings(std::move(settings)), m_clock(clock), m_random(seed), m_startedAt(clock.now()), m_counter(m_settings.slots)
{
    if (!m_settings.runLogPath.empty()) {
        m_runLog.open(m_settings.runLogPath, std::ios::app);
    }
}

void UpstreamEmulator::setDefaultId(const SocketAddress &address)
{
    if (m_settings.upstreamId.empty()) {
        m_settings.upstreamId = m_settings.service + '-' + std::to_string(address.port);
    }
}

std::uint32_t UpstreamEmulator::loadWith(std::uint32_t running) const
{
    return running * FullLoadPermille / std::max(m_settings.slots, 1U);
}

std::uint32_t UpstreamEmulator::reportedLoad() const
{
    const std::uint32_t load = loadWith(m_counter.running());
    return m_settings.loadLies ? FullLoadPermille - std::min(load, FullLoadPermille) : load;
}

double UpstreamEmulator::slowness() const
{
    const double overload = std::max(1.0, static_cast<double>(m_counter.running() + 1) / std::max(m_settings.slots, 1U));
    const Duration age = m_clock.now() - m_startedAt;
    if (age >= m_settings.coldStart) {
        return overload;
    }
    const double progress = static_cast<double>(age.count()) / static_cast<double>(m_settings.coldStart.count());
    return overload * (ColdStartFactor - (ColdStartFactor - 1) * progress);
}

Duration UpstreamEmulator::drawDuration(const EmulatedRequest &request)
{
    if (const auto milliseconds = pathNumber(request.path, "/slow/", MaximumSlowMs)) {
        return std::chrono::milliseconds(*milliseconds);
    }
    const double jittered = 1 - JitterShare / 2 + JitterShare * m_random.unit();
    return Duration(static_cast<Duration::rep>(static_cast<double>(m_settings.serviceTime.count()) * jittered * slowness()));
}

void UpstreamEmulator::logRun(const std::string &key)
{
    if (m_runLog.is_open()) {
        m_runLog << m_clock.unixMilliseconds() << ' ' << key << std::endl;
    }
}

EmulatedAnswer UpstreamEmulator::refuse(std::string_view reason)
{
    m_counter.refuse();
    EmulatedAnswer answer;
    answer.status = 503;
    answer.isRefused = true;
    answer.body = JsonValue(JsonValue::Object {{"refused", reason}, {"upstream", m_settings.upstreamId}}).toText();
    return answer;
}

std::variant<EmulatedRun, EmulatedAnswer> UpstreamEmulator::begin(const EmulatedRequest &request)
{
    if (m_isDraining) {
        return refuse("draining");
    }
    if (m_counter.running() >= m_settings.connections) {
        return refuse("connections");
    }
    if (m_settings.shedAtPermille > 0 && loadWith(m_counter.running() + 1) > m_settings.shedAtPermille) {
        return refuse("load");
    }
    if (request.timeLeft && request.timeLeft->count() <= 0) {
        return refuse("deadline");
    }
    EmulatedRun run;
    run.duration = drawDuration(request);
    run.number = m_counter.begin(request.key);
    logRun(request.key);
    if (request.isCrash) {
        run.endsInCrash = true;
        run.duration /= 2;
    }
    if (request.timeLeft && *request.timeLeft < run.duration) {
        run.endsAtDeadline = true;
        run.endsInCrash = false;
        run.duration = *request.timeLeft;
    }
    return run;
}

/// The path and a line break, repeated and cut to \a size bytes, so that the whole body names its request.
static std::string documentFor(const std::string &path, std::uint64_t size)
{
    const std::string line = path + '\n';
    std::string body;
    body.reserve(size + line.size());
    while (body.size() < size) {
        body += line;
    }
    body.resize(size);
    return body;
}

EmulatedAnswer UpstreamEmulator::echo(const EmulatedRequest &request, const EmulatedRun &run) const
{
    EmulatedAnswer answer;
    if (request.wantsText) {
        answer.mediaType = "text/plain";
        answer.body = request.method + ' ' + request.path + " key=" + request.key + " run=" + std::to_string(run.number) + '\n';
        return answer;
    }
    answer.body = JsonValue(JsonValue::Object {
                                {"upstream", m_settings.upstreamId},
                                {"service", m_settings.service},
                                {"method", request.method},
                                {"path", request.path},
                                {"key", request.key},
                                {"caller", request.caller},
                                {"body_bytes", static_cast<std::uint64_t>(request.bodyBytes)},
                                {"run", run.number},
                            })
                      .toText();
    return answer;
}

EmulatedAnswer UpstreamEmulator::finish(const EmulatedRequest &request, const EmulatedRun &run)
{
    if (run.endsAtDeadline) {
        m_counter.cancel(CancelReason::Deadline);
        EmulatedAnswer answer;
        answer.status = 504;
        answer.body = JsonValue(JsonValue::Object {{"cancelled", "deadline"}, {"run", run.number}}).toText();
        return answer;
    }
    m_counter.complete();
    if (const auto size = pathNumber(request.path, "/size/", MaximumSizeBytes)) {
        EmulatedAnswer answer;
        answer.mediaType = "text/plain";
        answer.body = documentFor(request.path, *size);
        return answer;
    }
    return echo(request, run);
}

void UpstreamEmulator::abandon()
{
    m_counter.cancel(CancelReason::ClientGone);
}

void UpstreamEmulator::startDraining()
{
    m_isDraining = true;
}

EmulatedAnswer UpstreamEmulator::health() const
{
    const bool isHealthy = m_isDraining == m_settings.healthLies;
    EmulatedAnswer answer;
    answer.status = isHealthy ? 200 : 503;
    answer.body = JsonValue(JsonValue::Object {{"healthy", isHealthy}, {"upstream", m_settings.upstreamId}}).toText();
    return answer;
}

EmulatedAnswer UpstreamEmulator::load() const
{
    EmulatedAnswer answer;
    answer.body = JsonValue(JsonValue::Object {
                                {"load_permille", static_cast<std::int64_t>(reportedLoad())},
                                {"slots", static_cast<std::int64_t>(m_settings.slots)},
                            })
                      .toText();
    return answer;
}

EmulatedAnswer UpstreamEmulator::runs() const
{
    EmulatedAnswer answer;
    answer.body = m_counter.toJson().toText();
    return answer;
}

JsonValue UpstreamEmulator::announcement(const SocketAddress &address) const
{
    JsonValue::Object labels;
    for (const auto &[name, value] : m_settings.labels) {
        labels[name] = value;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_startedAt);
    return JsonValue::Object {
        {"upstream", m_settings.upstreamId},
        {"service", m_settings.service},
        {"address", address.toString()},
        {"slots", static_cast<std::int64_t>(m_settings.slots)},
        {"connections", static_cast<std::int64_t>(m_settings.connections)},
        {"labels", std::move(labels)},
        {"refusals_mean_not_run", true},
        {"age_ms", static_cast<std::int64_t>(age.count())},
        {"load_permille", static_cast<std::int64_t>(reportedLoad())},
        {"draining", m_isDraining},
    };
}

} // namespace Fuchsiastep
