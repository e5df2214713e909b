#include <fuchsiactl/AnswerReader.h>

#include <LibCore/JsonObjectReader.h>

namespace Fuchsiastep::ControlTool {

static constexpr std::uint16_t FirstSuccessStatus = 200;
static constexpr std::uint16_t FirstRedirectStatus = 300;
static constexpr std::int64_t MaximumCode = 999;

static Error readFailure(const ControlAnswer &answer)
{
    Error unclear {ErrorCode::OperatorRequestMalformed, "HTTP status " + std::to_string(answer.status) + " without a result code"};
    const Result<JsonValue> value = JsonValue::tryParse(answer.body);
    if (isError(value)) {
        return unclear;
    }
    std::vector<Error> errors;
    JsonObjectReader reader(valueOf(value), "$", errors);
    const auto code = static_cast<ErrorCode>(reader.requiredInteger("code", 1, MaximumCode));
    std::string detail = reader.optionalString("detail");
    if (!errors.empty() || errorCodeInfo(code).code != code) {
        return unclear;
    }
    return {code, std::move(detail)};
}

Result<JsonValue> tryReadAnswer(const ControlAnswer &answer)
{
    if (answer.status < FirstSuccessStatus || answer.status >= FirstRedirectStatus) {
        return readFailure(answer);
    }
    if (answer.body.empty()) {
        return JsonValue(JsonValue::Object {});
    }
    Result<JsonValue> value = JsonValue::tryParse(answer.body);
    if (isError(value)) {
        return Error {ErrorCode::JsonMalformed, "answer of the proxy: " + errorOf(value).detail};
    }
    return value;
}

} // namespace Fuchsiastep::ControlTool
