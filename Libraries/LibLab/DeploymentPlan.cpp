#include <LibLab/DeploymentPlan.h>

#include <LibCore/JsonObjectReader.h>

#include <fstream>
#include <initializer_list>
#include <sstream>

namespace Fuchsiastep {

static constexpr std::int64_t MaximumUpstreams = 1000;
static constexpr std::int64_t MaximumSetting = 600'000;

/// Keeps the whole numbers of a settings object under the given names; fuchsiastepd checks their ranges.
static JsonValue::Object readNumbers(
    JsonObjectReader &parent, std::string_view section, std::initializer_list<const char *> names, std::vector<Error> &errors)
{
    JsonValue::Object numbers;
    const JsonValue *value = parent.optionalValue(section);
    if (value == nullptr) {
        return numbers;
    }
    JsonObjectReader reader(*value, parent.pathOf(section), errors);
    for (const char *name : names) {
        if (reader.has(name)) {
            numbers[name] = reader.requiredInteger(name, 0, MaximumSetting);
        }
    }
    reader.finish();
    return numbers;
}

static ServicePlan readService(const JsonValue &value, const std::string &path, std::vector<Error> &errors)
{
    JsonObjectReader reader(value, path, errors);
    const auto number = [&reader](const char *name, std::uint32_t fallback, std::int64_t minimum, std::int64_t maximum) {
        return static_cast<std::uint32_t>(reader.optionalInteger(name, fallback, minimum, maximum));
    };
    ServicePlan service;
    service.name = reader.requiredString("name");
    service.upstreams = number("upstreams", service.upstreams, 1, MaximumUpstreams);
    service.slots = number("slots", service.slots, 1, MaximumSetting);
    service.connections = number("connections", service.connections, 1, MaximumSetting);
    service.serviceTimeMs = number("service_time_ms", service.serviceTimeMs, 0, MaximumSetting);
    service.coldStartMs = number("cold_start_ms", service.coldStartMs, 0, MaximumSetting);
    service.labels = reader.optionalLabels("labels");
    reader.finish();
    return service;
}

Result<DeploymentPlan> DeploymentPlan::tryParse(std::string_view text)
{
    const Result<JsonValue> value = JsonValue::tryParse(text);
    if (isError(value)) {
        return errorOf(value);
    }
    std::vector<Error> errors;
    DeploymentPlan plan;
    JsonObjectReader reader(valueOf(value), "$", errors);
    plan.name = reader.requiredString("name");
    plan.region = reader.requiredString("region");
    plan.dataCentres = reader.optionalStrings("data_centres");
    const JsonValue::Array *services = reader.optionalArray("services");
    for (std::size_t index = 0; services != nullptr && index < services->size(); ++index) {
        plan.services.push_back(readService(services->at(index), reader.pathOf("services") + '[' + std::to_string(index) + ']', errors));
    }
    plan.distribution = readNumbers(reader, "distribution", {"batch_ms", "reader_poll_ms", "readers", "fan_out"}, errors);
    plan.membership = readNumbers(reader, "membership", {"probe_ms", "probe_timeout_ms"}, errors);
    reader.finish();
    if (!errors.empty()) {
        return errors.front();
    }
    if (plan.dataCentres.empty() || plan.services.empty()) {
        return Error {ErrorCode::SettingsMissingKey, "$: data_centres and services must not be empty"};
    }
    return plan;
}

Result<DeploymentPlan> DeploymentPlan::tryLoad(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return Error {ErrorCode::FileUnreadable, path};
    }
    return tryParse(text.str());
}

JsonValue DeploymentPlan::openDeclarations() const
{
    JsonValue::Array declared;
    JsonValue::Array selectors;
    for (const ServicePlan &service : services) {
        declared.push_back(JsonValue::Object {{"name", service.name}, {"labels", JsonValue::Object {}}});
        selectors.push_back(JsonValue::Object {{"name", "everyone-" + service.name}, {"service", service.name}});
    }
    return JsonValue::Object {{"services", declared}, {"upstreams", JsonValue::Array {}}, {"selectors", selectors}};
}

std::size_t DeploymentPlan::upstreamCount() const
{
    std::size_t count = 0;
    for (const ServicePlan &service : services) {
        count += service.upstreams;
    }
    return count;
}

} // namespace Fuchsiastep
