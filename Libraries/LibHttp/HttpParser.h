#pragma once

#include <LibCore/Result.h>
#include <LibHttp/HttpLimits.h>
#include <LibHttp/HttpMessage.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// Reads the messages of one direction of a connection, one after the other. After a failure the connection cannot be
/// read further.
class HttpParser
{
public:
    enum class Kind {
        Request,
        Response,
    };

    HttpParser(Kind kind, const HttpLimits &limits);
    ~HttpParser();
    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    void append(std::string_view bytes);

    /// The next whole message, or nothing while it is incomplete. Interim responses (1xx) are skipped. Fails with
    /// RequestMalformed, HeadTooLarge or BodyTooLarge; for responses with AnswerTooLarge beyond the limits, which interim
    /// responses before one response share, and with AnswerTruncated where they are malformed.
    Result<std::optional<HttpMessage>> tryNext();
    /// The peer ended the connection in order: the last message, where it is framed by that end. Fails with AnswerTruncated
    /// where a message is incomplete.
    Result<std::optional<HttpMessage>> tryEnd();

    /// The next response answers a HEAD request and has no body.
    void expectNoBody();

    /// No byte of a further message has arrived.
    bool isBetweenMessages() const;
    /// Memory that a message takes which is not complete, in bytes.
    std::size_t bytesHeld() const;
    /// Frees that memory. The connection cannot be read further.
    void discard();
    /// The head of the current message is complete, and its body is not.
    bool hasHead() const;
    /// The current request waits for "100 Continue". True once for each request.
    bool takeContinueWish();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Fuchsiastep
