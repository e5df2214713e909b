#include <LibLab/JsonNumbers.h>

#include <LibCore/JsonValue.h>

namespace Fuchsiastep {

std::map<std::string, std::uint64_t> numbersOf(std::string_view text)
{
    const Result<JsonValue> value = JsonValue::tryParse(text);
    std::map<std::string, std::uint64_t> numbers;
    const auto *object = isError(value) ? nullptr : std::get_if<JsonValue::Object>(&valueOf(value).content);
    if (object == nullptr) {
        return numbers;
    }
    for (const auto &[name, member] : *object) {
        if (const auto *number = std::get_if<std::int64_t>(&member.content)) {
            numbers[name] = static_cast<std::uint64_t>(*number);
        }
    }
    return numbers;
}

} // namespace Fuchsiastep
