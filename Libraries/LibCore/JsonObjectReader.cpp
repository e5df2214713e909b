#include <LibCore/JsonObjectReader.h>

namespace Fuchsiastep {

JsonObjectReader::JsonObjectReader(const JsonValue &value, std::string path, std::vector<Error> &errors)
    : m_object(std::get_if<JsonValue::Object>(&value.content)), m_path(std::move(path)), m_errors(errors)
{
    if (m_object == nullptr) {
        m_errors.push_back({ErrorCode::SettingsWrongType, m_path + ": expected an object"});
    }
}

std::string JsonObjectReader::pathOf(std::string_view name) const
{
    return m_path + '.' + std::string(name);
}

bool JsonObjectReader::has(std::string_view name) const
{
    return m_object != nullptr && m_object->contains(std::string(name));
}

void JsonObjectReader::report(ErrorCode code, std::string_view name, std::string_view text)
{
    m_errors.push_back({code, pathOf(name) + ": " + std::string(text)});
}

const JsonValue *JsonObjectReader::find(std::string_view name, bool isRequired)
{
    m_known.emplace(name);
    if (m_object == nullptr) {
        return nullptr;
    }
    const auto member = m_object->find(std::string(name));
    if (member != m_object->end()) {
        return &member->second;
    }
    if (isRequired) {
        report(ErrorCode::SettingsMissingKey, name, "missing");
    }
    return nullptr;
}

std::optional<std::string> JsonObjectReader::string(std::string_view name, bool isRequired)
{
    const JsonValue *value = find(name, isRequired);
    if (value == nullptr) {
        return std::nullopt;
    }
    const auto *text = std::get_if<std::string>(&value->content);
    if (text == nullptr) {
        report(ErrorCode::SettingsWrongType, name, "expected a string");
        return std::nullopt;
    }
    return *text;
}

std::string JsonObjectReader::requiredString(std::string_view name)
{
    std::optional<std::string> text = string(name, true);
    if (text && text->empty()) {
        report(ErrorCode::SettingsOutOfRange, name, "must not be empty");
    }
    return text.value_or(std::string());
}

std::string JsonObjectReader::optionalString(std::string_view name, std::string fallback)
{
    return string(name, false).value_or(std::move(fallback));
}

std::optional<std::int64_t> JsonObjectReader::integer(std::string_view name, bool isRequired, std::int64_t minimum, std::int64_t maximum)
{
    const JsonValue *value = find(name, isRequired);
    if (value == nullptr) {
        return std::nullopt;
    }
    const auto *number = std::get_if<std::int64_t>(&value->content);
    if (number == nullptr) {
        report(ErrorCode::SettingsWrongType, name, "expected an integer");
        return std::nullopt;
    }
    if (*number < minimum || *number > maximum) {
        report(ErrorCode::SettingsOutOfRange, name, "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return std::nullopt;
    }
    return *number;
}

std::int64_t JsonObjectReader::requiredInteger(std::string_view name, std::int64_t minimum, std::int64_t maximum)
{
    return integer(name, true, minimum, maximum).value_or(minimum);
}

std::int64_t JsonObjectReader::optionalInteger(std::string_view name, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum)
{
    return integer(name, false, minimum, maximum).value_or(fallback);
}

double JsonObjectReader::optionalNumber(std::string_view name, double fallback, double minimum, double maximum)
{
    const JsonValue *value = find(name, false);
    if (value == nullptr) {
        return fallback;
    }
    double number = 0;
    if (const auto *whole = std::get_if<std::int64_t>(&value->content)) {
        number = static_cast<double>(*whole);
    } else if (const auto *real = std::get_if<double>(&value->content)) {
        number = *real;
    } else {
        report(ErrorCode::SettingsWrongType, name, "expected a number");
        return fallback;
    }
    if (number < minimum || number > maximum) {
        report(ErrorCode::SettingsOutOfRange, name, "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return number;
}

bool JsonObjectReader::optionalBool(std::string_view name, bool fallback)
{
    const JsonValue *value = find(name, false);
    if (value == nullptr) {
        return fallback;
    }
    const auto *flag = std::get_if<bool>(&value->content);
    if (flag == nullptr) {
        report(ErrorCode::SettingsWrongType, name, "expected true or false");
        return fallback;
    }
    return *flag;
}

JsonObjectReader::Labels JsonObjectReader::optionalLabels(std::string_view name)
{
    Labels labels;
    const JsonValue *value = find(name, false);
    if (value == nullptr) {
        return labels;
    }
    const auto *members = std::get_if<JsonValue::Object>(&value->content);
    if (members == nullptr) {
        report(ErrorCode::SettingsWrongType, name, "expected an object of strings");
        return labels;
    }
    for (const auto &[label, member] : *members) {
        const auto *text = std::get_if<std::string>(&member.content);
        if (text == nullptr) {
            report(ErrorCode::SettingsWrongType, std::string(name) + '.' + label, "expected a string");
            continue;
        }
        labels[label] = *text;
    }
    return labels;
}

std::vector<std::string> JsonObjectReader::optionalStrings(std::string_view name)
{
    std::vector<std::string> strings;
    const JsonValue::Array *items = optionalArray(name);
    if (items == nullptr) {
        return strings;
    }
    for (std::size_t i = 0; i < items->size(); ++i) {
        const auto *text = std::get_if<std::string>(&(*items)[i].content);
        if (text == nullptr) {
            report(ErrorCode::SettingsWrongType, std::string(name) + '[' + std::to_string(i) + ']', "expected a string");
            continue;
        }
        strings.push_back(*text);
    }
    return strings;
}

const JsonValue *JsonObjectReader::optionalValue(std::string_view name)
{
    return find(name, false);
}

const JsonValue *JsonObjectReader::requiredValue(std::string_view name)
{
    return find(name, true);
}

const JsonValue::Array *JsonObjectReader::optionalArray(std::string_view name)
{
    const JsonValue *value = find(name, false);
    if (value == nullptr) {
        return nullptr;
    }
    const auto *items = std::get_if<JsonValue::Array>(&value->content);
    if (items == nullptr) {
        report(ErrorCode::SettingsWrongType, name, "expected an array");
    }
    return items;
}

void JsonObjectReader::finish()
{
    if (m_object == nullptr) {
        return;
    }
    for (const auto &[name, member] : *m_object) {
        if (!m_known.contains(name)) {
            report(ErrorCode::SettingsUnknownKey, name, "unknown key");
        }
    }
}

} // namespace Fuchsiastep
