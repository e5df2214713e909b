#include <LibFleet/FreshnessLease.h>

#include <LibConfiguration/MsgpackReader.h>
#include <LibConfiguration/MsgpackWriter.h>

#include <algorithm>

namespace Fuchsiastep {

/// Versions of which the latest confirmation is kept.
static constexpr std::size_t MaximumVersions = 8;

static std::uint64_t millisecondsOf(Duration duration)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

namespace {

/// What one proxy tells another.
struct Knowledge
{
    ConfigurationVersion newest = 0;
    std::uint64_t ageMs = 0;
    /// A time of the receiver's clock that the sender has seen, and how long ago; or a time of the sender's clock.
    std::uint64_t stamp = 0;
    std::uint64_t stampAgeMs = 0;
};

std::optional<Knowledge> decodeKnowledge(std::string_view content)
{
    constexpr std::size_t MaximumBytes = 64;
    Knowledge knowledge;
    const bool isValid = readMsgpack(content, MaximumBytes, [&](MsgpackReader &reader) {
        knowledge.newest = reader.takeUnsigned();
        knowledge.ageMs = reader.takeUnsigned();
        knowledge.stamp = reader.takeUnsigned();
        knowledge.stampAgeMs = reader.takeUnsigned();
    });
    return isValid ? std::optional(knowledge) : std::nullopt;
}

} // namespace

FreshnessLease::FreshnessLease(FreshnessSettings settings, const Clock &clock) : m_settings(settings), m_clock(clock)
{ }

std::uint64_t FreshnessLease::now() const
{
    return m_clock.uninterruptedMilliseconds();
}

void FreshnessLease::hold(ConfigurationVersion version)
{
    m_held = version;
}

void FreshnessLease::note(ConfigurationVersion newest, std::uint64_t knownAtMs)
{
    std::uint64_t &known = m_known[newest];
    known = std::max(known, std::min(knownAtMs, now()));
    if (m_known.size() > MaximumVersions) {
        m_known.erase(m_known.begin());
    }
}

std::uint64_t FreshnessLease::knownAtMs() const
{
    std::uint64_t latest = 0;
    for (const auto &[version, knownAt] : m_known) {
        // A version that was the newest then, and is older than the one held, leaves nothing newer than the one held.
        if (version <= m_held) {
            latest = std::max(latest, knownAt);
        }
    }
    return latest;
}

bool FreshnessLease::isValid() const
{
    return left() > Duration(0);
}

Duration FreshnessLease::left() const
{
    const std::uint64_t known = knownAtMs();
    const std::uint64_t endsAt = known + millisecondsOf(m_settings.leaseTime());
    const std::uint64_t at = now();
    return known == 0 || endsAt <= at ? Duration(0) : std::chrono::milliseconds(endsAt - at);
}

std::uint64_t FreshnessLease::startsBeforeMs() const
{
    return knownAtMs() + millisecondsOf(m_settings.startTime());
}

FleetTopicHandlers FreshnessLease::topic()
{
    FleetTopicHandlers handlers;
    handlers.topic = FleetTopic::Freshness;
    handlers.isInUse = [] {
        return true;
    };
    handlers.report = [this] {
        return encodeKnowledge(m_stamp, m_stamp > 0 ? now() - m_stampArrivedMs : 0);
    };
    handlers.answer = [this](const std::string &, std::string_view content) {
        acceptReport(content);
        return encodeKnowledge(now(), 0);
    };
    handlers.acceptReply = [this](FleetReportTime reported, std::string_view content) {
        acceptReply(reported, content);
    };
    handlers.answerDataCentre = [this](const std::string &, std::string_view) {
        return encodeKnowledge(now(), 0);
    };
    handlers.acceptDataCentreReply = [this](const std::string &, FleetReportTime reported, std::string_view content) {
        if (const auto knowledge = decodeKnowledge(content); knowledge && knowledge->ageMs <= reported.sentAtMs) {
            note(knowledge->newest, reported.sentAtMs - knowledge->ageMs);
        }
    };
    return handlers;
}

std::string FreshnessLease::encodeKnowledge(std::uint64_t stamp, std::uint64_t stampAgeMs) const
{
    const auto latest =
        std::max_element(m_known.begin(), m_known.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    const bool isKnown = latest != m_known.end();
    MsgpackWriter writer;
    writer.beginArray(4);
    writer.put(isKnown ? latest->first : std::uint64_t(0));
    // Beyond every lease where nothing is known.
    writer.put(isKnown ? now() - latest->second : millisecondsOf(m_settings.revocationTime));
    writer.put(stamp);
    writer.put(stampAgeMs);
    return writer.take();
}

void FreshnessLease::acceptReport(std::string_view content)
{
    const auto knowledge = decodeKnowledge(content);
    if (!knowledge || knowledge->stamp == 0 || knowledge->newest == 0) {
        return;
    }
    // The report was written this long after this proxy wrote the stamp, or later.
    const std::uint64_t writtenAt = knowledge->stamp + knowledge->stampAgeMs;
    if (knowledge->ageMs <= writtenAt) {
        note(knowledge->newest, writtenAt - knowledge->ageMs);
    }
}

void FreshnessLease::acceptReply(FleetReportTime reported, std::string_view content)
{
    const auto knowledge = decodeKnowledge(content);
    if (!knowledge) {
        return;
    }
    m_stamp = knowledge->stamp;
    m_stampArrivedMs = now();
    if (knowledge->newest > 0 && knowledge->ageMs <= reported.sentAtMs) {
        note(knowledge->newest, reported.sentAtMs - knowledge->ageMs);
    }
}

} // namespace Fuchsiastep
