#include <LibLab/FleetClient.h>

#include <LibCore/JsonObjectReader.h>
#include <LibLab/JsonNumbers.h>
#include <LibLab/LabLoop.h>

#include <algorithm>

namespace Fuchsiastep {

static constexpr Duration PollInterval = std::chrono::milliseconds(20);
static constexpr Duration SubmitTimeout = std::chrono::seconds(10);

FleetClient::FleetClient(Fleet &fleet) : m_fleet(fleet)
{ }

void FleetClient::setObserver(Observer observer)
{
    m_observer = std::move(observer);
}

FleetClient::Statuses FleetClient::statuses(const Fleet::Indices &indices)
{
    std::vector<HttpCall> calls;
    for (const std::size_t index : indices) {
        HttpCall call;
        call.url = "http://" + m_fleet.at(index).control.toString() + "/v1/operator/status";
        calls.push_back(std::move(call));
    }
    const std::vector<HttpReply> replies = m_http.fetchAll(std::move(calls));
    Statuses statuses;
    for (std::size_t i = 0; i < indices.size(); ++i) {
        const Result<ProxyStatus> parsed = ProxyStatus::tryParse(replies[i].body);
        statuses[indices[i]] = isError(parsed) ? std::nullopt : std::optional(valueOf(parsed));
    }
    if (m_observer) {
        m_observer(statuses);
    }
    return statuses;
}

bool FleetClient::waitUntil(const Fleet::Indices &indices, const Condition &condition, Duration limit)
{
    const Clock clock = Clock::system();
    const TimePoint deadline = clock.now() + limit;
    while (clock.now() < deadline) {
        const Statuses all = statuses(indices);
        const bool isMet = std::all_of(all.begin(), all.end(), [&](const auto &item) { return item.second && condition(*item.second); });
        if (isMet) {
            return true;
        }
        runLoopUntil([] { return false; }, PollInterval);
    }
    return false;
}

bool FleetClient::waitUntilReady(const Fleet::Indices &indices, Duration limit)
{
    return waitUntil(
        indices, [](const ProxyStatus &status) { return status.isReady; }, limit);
}

bool FleetClient::waitUntilHeld(const Fleet::Indices &indices, std::uint64_t version, Duration limit)
{
    return waitUntil(
        indices, [version](const ProxyStatus &status) { return status.version >= version; }, limit);
}

Result<AcceptedChange> FleetClient::trySubmit(std::size_t index, const JsonValue &store, const std::string &operation)
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + m_fleet.at(index).control.toString() + "/v1/operator/changes";
    call.timeout = SubmitTimeout;
    call.body = JsonValue(JsonValue::Object {
                              {"operation", operation},
                              {"operator", "fuchsialab"},
                              {"comment", ""},
                              {"store", store},
                              {"remove", JsonValue::Array {}},
                          })
                    .toText();
    AcceptedChange change;
    change.submittedUnixMs = Clock::system().unixMilliseconds();
    const HttpReply reply = m_http.fetch(std::move(call));
    const Result<JsonValue> answer = JsonValue::tryParse(reply.body);
    if (reply.status != SOUP_STATUS_OK || isError(answer)) {
        return Error {ErrorCode::ProxyUnreachable, "change not accepted: " + std::to_string(reply.status) + ' ' + reply.body};
    }
    std::vector<Error> errors;
    JsonObjectReader reader(valueOf(answer), "$", errors);
    change.version = static_cast<std::uint64_t>(reader.requiredInteger("version", 0, std::numeric_limits<std::int64_t>::max()));
    change.acceptedUnixMs = reply.unixMs;
    return change;
}

Result<AcceptedChange> FleetClient::trySubmitLabel(std::size_t index, const std::string &name, const std::string &value)
{
    const JsonValue::Object service {{"name", name}, {"labels", JsonValue::Object {{"spell", value}}}};
    g_autofree char *operation = g_uuid_string_random();
    return trySubmit(index, JsonValue::Object {{"services", JsonValue::Array {service}}}, operation);
}

HttpCall FleetClient::callThrough(std::size_t index, const std::string &service, const std::string &path) const
{
    HttpCall call;
    call.url = "http://" + m_fleet.at(index).callers.toString() + "/v1/call/" + service + path;
    call.headers = {{"fuchsiastep-caller", "fuchsialab"}, {"fuchsiastep-deadline-ms", "5000"}};
    call.timeout = std::chrono::seconds(10);
    return call;
}

HttpCall FleetClient::orderThrough(std::size_t index, const std::string &service, const std::string &path, const std::string &key) const
{
    HttpCall call = callThrough(index, service, path);
    call.method = "POST";
    call.headers["idempotency-key"] = key;
    call.body = "{\"order\":\"" + key + "\"}";
    return call;
}

std::map<std::string, std::uint64_t> FleetClient::numbersAt(const std::string &url)
{
    HttpCall call;
    call.url = url;
    return numbersOf(m_http.fetch(std::move(call)).body);
}

std::map<std::string, std::uint64_t> FleetClient::platformCounters()
{
    return numbersAt("http://" + m_fleet.platform().toString() + "/v1/counters");
}

std::uint64_t FleetClient::readsOf(const std::map<std::string, std::uint64_t> &counters)
{
    std::uint64_t reads = 0;
    for (const char *name : {"reads", "objects_read"}) {
        const auto found = counters.find(name);
        reads += found == counters.end() ? 0 : found->second;
    }
    return reads;
}

bool FleetClient::setPlatformFaults(const JsonValue &faults)
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + m_fleet.platform().toString() + "/v1/faults";
    call.body = faults.toText();
    const unsigned status = m_http.fetch(std::move(call)).status;
    return SOUP_STATUS_IS_SUCCESSFUL(status);
}

std::map<std::string, std::uint64_t> FleetClient::upstreamRuns(std::size_t index)
{
    return numbersAt("http://" + m_fleet.at(index).upstreamAddress.toString() + "/runs");
}

} // namespace Fuchsiastep
