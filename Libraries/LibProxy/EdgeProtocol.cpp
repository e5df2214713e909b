#include <LibProxy/EdgeProtocol.h>

#include <LibProxy/HttpHeaders.h>

namespace Fuchsiastep {

static HttpMessage formatUpstreamRequest(const RequestFrame &request, Duration timeLeft)
{
    HttpMessage message;
    message.method = request.method;
    message.target = request.path;
    message.headers = request.headers;
    message.headers[DeadlineHeader] = std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft).count());
    message.body = request.body;
    return message;
}

static UpstreamAnswerKind classifyAnswer(const RequestFrame &, const HttpMessage &answer, AnswerOrigin)
{
    constexpr std::uint16_t ServiceUnavailable = 503;
    const bool isRefusal = answer.status == ServiceUnavailable && answer.headers.contains(RefusedHeader);
    return isRefusal ? UpstreamAnswerKind::Refusal : UpstreamAnswerKind::Answer;
}

EdgeProtocol nativeProtocol()
{
    EdgeProtocol protocol;
    protocol.tryParseCall = tryParseCall;
    protocol.formatAnswer = formatCallAnswer;
    protocol.formatUpstreamRequest = formatUpstreamRequest;
    protocol.classifyAnswer = classifyAnswer;
    protocol.workspaceHeaders = {WorkspaceKeyHeader, WorkspaceHeader};
    protocol.readControl = [](const HttpRequest &) {
        return ControlMessage();
    };
    return protocol;
}

} // namespace Fuchsiastep
