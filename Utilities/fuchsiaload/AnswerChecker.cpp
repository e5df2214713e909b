#include "AnswerChecker.h"

#include <LibCore/JsonObjectReader.h>

namespace Fuchsiastep {

static constexpr unsigned StatusOk = 200;

/// Whether \a body is the path and a line break, repeated and cut to the size that was asked for.
static bool isDocumentOf(const PlannedRequest &request, std::string_view body)
{
    if (body.size() != request.documentBytes) {
        return false;
    }
    const std::string line = request.path + '\n';
    for (; body.size() > line.size(); body.remove_prefix(line.size())) {
        if (!body.starts_with(line)) {
            return false;
        }
    }
    return line.starts_with(body);
}

std::optional<std::string> AnswerChecker::problemOf(const RequestResult &result)
{
    if (result.outcome != RequestOutcome::Answered || result.status != StatusOk) {
        return std::nullopt;
    }
    const PlannedRequest &request = result.request;
    if (request.kind == RequestKind::Document) {
        return isDocumentOf(request, result.body) ? std::nullopt : std::optional("other document than " + request.path);
    }
    const Result<JsonValue> body = JsonValue::tryParse(result.body);
    if (isError(body)) {
        return "answer to " + request.path + " is not JSON";
    }
    std::vector<Error> errors;
    JsonObjectReader reader(valueOf(body), "$", errors);
    const std::string path = reader.requiredString("path");
    const std::string method = reader.requiredString("method");
    const std::string key = reader.optionalString("key");
    const std::string run = reader.requiredString("upstream") + " run "
        + std::to_string(reader.requiredInteger("run", 1, std::numeric_limits<std::int64_t>::max()));
    if (!errors.empty()) {
        return "answer to " + request.path + " is no echo: " + errors.front().detail;
    }
    if (path != request.path || method != request.method || key != request.key) {
        return "answer to " + request.method + ' ' + request.path + " is that to " + method + ' ' + path + " key " + key;
    }
    if (request.kind == RequestKind::RepeatOrder && !m_isDirect) {
        return problemOfRepeat(result, run);
    }
    return std::nullopt;
}

std::optional<std::string> AnswerChecker::problemOfRepeat(const RequestResult &result, const std::string &run)
{
    const auto [first, isFirst] = m_firstRuns.try_emplace(result.request.number, run);
    if (isFirst) {
        return std::nullopt;
    }
    const std::string firstRun = std::move(first->second);
    m_firstRuns.erase(first);
    if (firstRun != run) {
        return "order " + result.request.path + " ran twice: " + firstRun + " and " + run;
    }
    return std::nullopt;
}

} // namespace Fuchsiastep
