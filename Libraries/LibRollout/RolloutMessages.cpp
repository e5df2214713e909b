#include <LibRollout/RolloutMessages.h>

#include <LibConfiguration/MsgpackReader.h>
#include <LibConfiguration/MsgpackWriter.h>
#include <LibWire/LibWire.h>

#include <algorithm>

namespace Fuchsiastep {

static constexpr std::uint32_t PermilleOfAll = 1000;

static void put(MsgpackWriter &writer, const RunCounts &counts)
{
    writer.beginArray(3);
    writer.put(counts.runs);
    writer.put(counts.failures);
    // Most buckets are empty.
    const auto used =
        static_cast<std::size_t>(std::count_if(counts.times.begin(), counts.times.end(), [](std::uint32_t count) { return count > 0; }));
    writer.beginArray(2 * used);
    for (std::size_t bucket = 0; bucket < RunCounts::BucketCount; ++bucket) {
        if (counts.times.at(bucket) > 0) {
            writer.put(std::uint64_t {bucket});
            writer.put(std::uint64_t {counts.times.at(bucket)});
        }
    }
}

static RunCounts readCounts(MsgpackReader &reader)
{
    RunCounts counts;
    counts.runs = reader.takeUnsigned();
    counts.failures = reader.takeUnsigned();
    reader.takeArray([&](MsgpackReader &inner) {
        const std::uint64_t bucket = inner.takeUnsigned(RunCounts::BucketCount - 1);
        counts.times.at(bucket) = static_cast<std::uint32_t>(inner.takeUnsigned(std::numeric_limits<std::uint32_t>::max()));
    });
    return counts;
}

static void put(MsgpackWriter &writer, const RunReport &report)
{
    writer.beginArray(8);
    writer.put(std::string_view(report.service));
    writer.put(report.orderRevision);
    writer.put(report.isNewVersion);
    writer.put(report.oldInFlight);
    writer.putEnumerator(report.phase);
    writer.put(std::uint64_t {report.sharePermille});
    writer.put(report.orderAgeMs);
    writer.beginArray(2 * report.routes.size());
    for (const auto &[selector, counts] : report.routes) {
        writer.put(std::string_view(selector));
        put(writer, counts);
    }
}

static RunReport readReport(MsgpackReader &reader)
{
    RunReport report;
    report.service = reader.takeString();
    report.orderRevision = reader.takeUnsigned();
    report.isNewVersion = reader.takeBool();
    report.oldInFlight = reader.takeUnsigned();
    report.phase = reader.takeEnumerator(RolloutPhase::RolledBack);
    report.sharePermille = static_cast<std::uint32_t>(reader.takeUnsigned(PermilleOfAll));
    report.orderAgeMs = reader.takeUnsigned();
    reader.takeArray([&](MsgpackReader &inner) {
        const std::string selector = inner.takeString();
        report.routes[selector] = inner.takeNested(readCounts);
    });
    return report;
}

static void put(MsgpackWriter &writer, const RolloutState &state)
{
    writer.beginArray(6);
    writer.put(std::string_view(state.order.service));
    writer.put(std::string_view(state.order.target));
    writer.put(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(state.order.length).count()));
    writer.put(state.order.revision);
    writer.putEnumerator(state.phase);
    writer.put(std::uint64_t {state.sharePermille});
}

static RolloutState readState(MsgpackReader &reader)
{
    constexpr std::uint64_t LongestMs = 30ULL * 24 * 3600 * 1000;
    RolloutState state;
    state.order.service = reader.takeString();
    state.order.target = reader.takeString();
    state.order.length = std::chrono::milliseconds(reader.takeUnsigned(LongestMs));
    state.order.revision = reader.takeUnsigned();
    state.phase = reader.takeEnumerator(RolloutPhase::RolledBack);
    state.sharePermille = static_cast<std::uint32_t>(reader.takeUnsigned(PermilleOfAll));
    return state;
}

std::string encodeRunReports(const std::vector<RunReport> &reports)
{
    if (reports.empty()) {
        return {};
    }
    MsgpackWriter writer;
    writer.beginArray(reports.size());
    for (const RunReport &report : reports) {
        put(writer, report);
    }
    return writer.take();
}

Result<std::vector<RunReport>> tryDecodeRunReports(std::string_view bytes)
{
    std::vector<RunReport> reports;
    const bool isValid = bytes.empty() || readMsgpack(bytes, MaximumFrameBytes, [&](MsgpackReader &reader) {
        while (reader.hasMore()) {
            reports.push_back(reader.takeNested(readReport));
        }
    });
    if (!isValid) {
        return Error {ErrorCode::FrameMalformed, "run reports"};
    }
    return reports;
}

std::string encodeRolloutNews(const RolloutNews &news)
{
    MsgpackWriter writer;
    writer.beginArray(3);
    writer.put(news.ageMs);
    writer.beginArray(news.states.size());
    for (const RolloutState &state : news.states) {
        put(writer, state);
    }
    writer.beginArray(news.sums.size());
    for (const RunReport &sum : news.sums) {
        put(writer, sum);
    }
    return writer.take();
}

Result<RolloutNews> tryDecodeRolloutNews(std::string_view bytes)
{
    RolloutNews news;
    const bool isValid = readMsgpack(bytes, MaximumFrameBytes, [&](MsgpackReader &reader) {
        news.ageMs = reader.takeUnsigned();
        reader.takeArray([&](MsgpackReader &inner) { news.states.push_back(inner.takeNested(readState)); });
        reader.takeArray([&](MsgpackReader &inner) { news.sums.push_back(inner.takeNested(readReport)); });
    });
    if (!isValid) {
        return Error {ErrorCode::FrameMalformed, "roll-outs"};
    }
    return news;
}

} // namespace Fuchsiastep
