#include <LibProxy/CallParser.h>

#include <LibProxy/HttpHeaders.h>
#include <LibProxy/SoupSupport.h>

#include <charconv>

namespace Fuchsiastep {

static constexpr std::string_view CallPrefix = "/v1/call/";
static constexpr std::size_t MaximumKeyBytes = 200;
static constexpr std::size_t MaximumCallerBytes = 63;
static constexpr std::int64_t MaximumDeadlineMs = 600'000;

static Result<std::optional<Duration>> tryParseDeadline(const std::string &text)
{
    if (text.empty()) {
        return std::optional<Duration>();
    }
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!isNumber || milliseconds < 1 || milliseconds > MaximumDeadlineMs) {
        return Error {ErrorCode::RequestMalformed, std::string(DeadlineHeader) + ": must be from 1 to 600000"};
    }
    return std::optional<Duration>(std::chrono::milliseconds(milliseconds));
}

Result<Call> tryParseCall(HttpRequest request)
{
    if (request.rejection != ErrorCode::None) {
        return Error {request.rejection, "request body"};
    }
    std::string_view path = request.path;
    if (!path.starts_with(CallPrefix)) {
        return Error {ErrorCode::RequestMalformed, "the path must be /v1/call/<service>/<path>"};
    }
    path.remove_prefix(CallPrefix.size());
    const std::size_t slash = path.find('/');
    Call call;
    call.token = request.token;
    call.service = std::string(path.substr(0, slash));
    call.path = slash == std::string_view::npos ? "/" : std::string(path.substr(slash));
    if (call.service.empty()) {
        return Error {ErrorCode::RequestMalformed, "the path names no service"};
    }
    if (!request.query.empty()) {
        call.path += '?' + request.query;
    }
    call.caller = fieldOf(request.headers, CallerHeader);
    if (call.caller.empty() || call.caller.size() > MaximumCallerBytes) {
        return Error {ErrorCode::CallerNotAllowed, std::string("the header ") + CallerHeader + " must name the caller"};
    }
    call.key = fieldOf(request.headers, KeyHeader);
    if (call.key.size() > MaximumKeyBytes) {
        return Error {ErrorCode::RequestMalformed, std::string(KeyHeader) + ": at most 200 bytes"};
    }
    Result<std::optional<Duration>> timeLeft = tryParseDeadline(fieldOf(request.headers, DeadlineHeader));
    if (isError(timeLeft)) {
        return errorOf(timeLeft);
    }
    call.timeLeft = valueOf(timeLeft);
    call.method = std::move(request.method);
    call.headers = std::move(request.headers);
    call.body = std::move(request.body);
    return call;
}

HttpAnswer formatCallAnswer(CallerAnswer answer)
{
    HttpAnswer http;
    http.token = answer.token;
    if (answer.outcome == RequestOutcome::Answered) {
        http.status = answer.status;
        http.headers = std::move(answer.headers);
        http.body = std::move(answer.body);
    } else {
        JsonValue::Object body = describeAsJson({answer.code, answer.detail});
        body["outcome"] = nameOf(answer.outcome);
        http.status = errorCodeInfo(answer.code).httpStatus;
        http.headers["content-type"] = "application/json";
        http.body = JsonValue(body).toText();
    }
    http.headers[OutcomeHeader] = nameOf(answer.outcome);
    http.headers[CodeHeader] = std::to_string(static_cast<unsigned>(answer.code));
    http.headers[TriesHeader] = std::to_string(answer.tries);
    return http;
}

} // namespace Fuchsiastep
