#include <LibHttp/HttpParser.h>

#include <LibHttp/HttpFields.h>
#include <LibWire/HttpStatus.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <charconv>
#include <exception>
#include <set>
#include <stdexcept>
#include <variant>

namespace Fuchsiastep {

namespace Http = boost::beast::http;

namespace {

using RequestParser = Http::parser<true, Http::string_body>;
using ResponseParser = Http::parser<false, Http::string_body>;

std::string toText(boost::string_view view)
{
    return {view.data(), view.size()};
}

template<typename Fields>
std::set<std::string> fieldsNamedByConnection(const Fields &fields)
{
    std::set<std::string> names;
    const auto range = fields.equal_range(Http::field::connection);
    for (auto field = range.first; field != range.second; ++field) {
        for (const auto token : Http::token_list(field->value())) {
            names.insert(toLowerAscii(toText(token)));
        }
    }
    return names;
}

template<typename Fields>
HeaderList endToEndFields(const Fields &fields)
{
    const std::set<std::string> named = fieldsNamedByConnection(fields);
    HeaderList headers;
    for (const auto &field : fields) {
        const std::string name = toLowerAscii(toText(field.name_string()));
        if (isConnectionField(name) || named.contains(name)) {
            continue;
        }
        std::string &value = headers[name];
        // Repeated fields are one field with a comma-separated list (RFC 9110, 5.3).
        if (!value.empty()) {
            value += name == SetCookieName ? std::string(1, SetCookieSeparator) : ", ";
        }
        value += toText(field.value());
    }
    return headers;
}

/// The number of "timeout=5" in a Keep-Alive field.
std::optional<Duration> parseKeepAlive(std::string_view text)
{
    constexpr std::string_view Parameter = "timeout=";
    const std::size_t begin = text.find(Parameter);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(begin + Parameter.size());
    unsigned seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    return parsed.ec == std::errc() ? std::optional<Duration>(std::chrono::seconds(seconds)) : std::nullopt;
}

Error requestError(const boost::system::error_code &error)
{
    if (error == Http::error::body_limit) {
        return {ErrorCode::BodyTooLarge, error.message()};
    }
    if (error == Http::error::header_limit) {
        return {ErrorCode::HeadTooLarge, error.message()};
    }
    return {ErrorCode::RequestMalformed, error.message()};
}

Error responseError(const boost::system::error_code &error)
{
    const bool isTooLarge = error == Http::error::body_limit || error == Http::error::header_limit;
    return {isTooLarge ? ErrorCode::AnswerTooLarge : ErrorCode::AnswerTruncated, error.message()};
}

} // namespace

/// Of a head that is not whole, the library reads this much, and the rest stays as it arrived: the library takes 20 times the
/// memory of a short field. A head of ordinary size is read as it comes, so that what is malformed is refused at once.
constexpr std::size_t EagerHeadBytes = 1024;
/// Memory that the library takes for a field beside its text.
constexpr std::size_t FieldBytes = 96;
/// An empty buffer keeps no more memory than this for the next bytes.
constexpr std::size_t KeptBufferBytes = 4096;
/// An empty text keeps little or nothing.
std::size_t memoryOf(const std::string &text)
{
    return text.empty() ? 0 : text.capacity();
}

constexpr std::string_view EndOfHead = "\r\n\r\n";

struct HttpParser::State
{
    Kind kind;
    HttpLimits limits;
    std::string input;
    std::size_t inputBegin = 0;
    std::variant<std::monostate, RequestParser, ResponseParser> parser;
    bool hasStarted = false;
    bool isContinueTold = false;
    bool isBodyForbidden = false;
    /// Bytes of the current message that the library has read.
    std::size_t messageBytes = 0;
    /// Memory of the fields of a head that is whole, while its body arrives.
    std::size_t headMemory = 0;
    /// Size of the interim responses before the current message.
    std::size_t interimBytes = 0;

    State(Kind wantedKind, const HttpLimits &wantedLimits) : kind(wantedKind), limits(wantedLimits)
    {
        restart();
    }

    template<typename Parser>
    void configure(Parser &fresh) const
    {
        // Eager reading begins behind the head: the library would otherwise report a length beyond the limit and go on to
        // reserve memory for it.
        fresh.eager(false);
        fresh.header_limit(limits.headBytes);
        fresh.body_limit(limits.bodyBytes);
    }

    void restart()
    {
        if (kind == Kind::Request) {
            configure(parser.emplace<RequestParser>());
        } else {
            auto &fresh = parser.emplace<ResponseParser>();
            configure(fresh);
            fresh.skip(isBodyForbidden);
        }
        hasStarted = false;
        isContinueTold = false;
        messageBytes = 0;
        headMemory = 0;
    }

    std::size_t unread() const
    {
        return input.size() - inputBegin;
    }

    void dropRead()
    {
        if (inputBegin == input.size()) {
            input.clear();
            inputBegin = 0;
            if (input.capacity() > KeptBufferBytes) {
                input.shrink_to_fit();
            }
        }
    }

    template<typename Parser>
    HttpMessage takeMessage(Parser &done) const
    {
        HttpMessage message;
        message.isLast = !done.keep_alive();
        auto content = done.release();
        if constexpr (std::is_same_v<Parser, RequestParser>) {
            message.method = toText(content.method_string());
            message.target = toText(content.target());
        } else {
            message.status = static_cast<std::uint16_t>(content.result_int());
        }
        message.keepAlive = parseKeepAlive(toText(content[Http::field::keep_alive]));
        message.headers = endToEndFields(content);
        if (isBodyForbidden && content.has_content_length()) {
            message.headers["content-length"] = toText(content[Http::field::content_length]);
        }
        message.body = std::move(content.body());
        return message;
    }

    bool isHeadWhole() const
    {
        const std::string_view rest = std::string_view(input).substr(inputBegin);
        // The library may have read the end of the last field.
        return rest.starts_with(EndOfHead.substr(2)) || rest.find(EndOfHead) != std::string_view::npos;
    }

    /// Bytes that the library may read now.
    template<typename Parser>
    std::size_t readable(const Parser &current) const
    {
        if (kind == Kind::Response || current.is_header_done() || isHeadWhole()) {
            return unread();
        }
        return messageBytes >= EagerHeadBytes ? 0 : std::min(unread(), EagerHeadBytes);
    }

    template<typename Parser>
    static std::size_t memoryOfFields(const Parser &current)
    {
        std::size_t bytes = 0;
        for (const auto &field : current.get()) {
            bytes += field.name_string().size() + field.value().size() + FieldBytes;
        }
        return bytes;
    }

    /// Hands unread bytes to the library. The result is false where it needs more of them.
    template<typename Parser>
    Result<bool> tryPut(Parser &current)
    {
        boost::system::error_code error;
        hasStarted = true;
        const std::size_t length = readable(current);
        if (length == 0) {
            return false;
        }
        try {
            const std::size_t taken = current.put(boost::asio::const_buffer(input.data() + inputBegin, length), error);
            inputBegin += taken;
            messageBytes += taken;
        } catch (const std::length_error &exception) {
            // The library stores no field name, value or target of 64 KiB or more.
            return Error {kind == Kind::Request ? ErrorCode::HeadTooLarge : ErrorCode::AnswerTooLarge, exception.what()};
        } catch (const std::exception &exception) {
            return Error {kind == Kind::Request ? ErrorCode::BodyTooLarge : ErrorCode::AnswerTooLarge, exception.what()};
        }
        if (error && error != Http::error::need_more) {
            return kind == Kind::Request ? requestError(error) : responseError(error);
        }
        if (current.is_header_done()) {
            headMemory = headMemory == 0 ? memoryOfFields(current) : headMemory;
            current.eager(true);
        }
        return !error;
    }

    /// Feeds the parser until the message is whole or the input is used up.
    template<typename Parser>
    Result<std::optional<HttpMessage>> advance(Parser &current)
    {
        bool takesMore = true;
        while (takesMore && unread() > 0 && !current.is_done()) {
            const Result<bool> taken = tryPut(current);
            if (isError(taken)) {
                return errorOf(taken);
            }
            takesMore = valueOf(taken);
        }
        dropRead();
        if (!current.is_done()) {
            // Bodies are read as they arrive, so that what waits here is part of a head, of the size of a chunk or of a
            // trailer. The library bounds the first only.
            if (unread() > limits.headBytes) {
                const ErrorCode code = kind == Kind::Request ? ErrorCode::HeadTooLarge : ErrorCode::AnswerTooLarge;
                return Error {code, "more than " + std::to_string(limits.headBytes) + " bytes of framing"};
            }
            return std::optional<HttpMessage>();
        }
        std::optional<HttpMessage> message = takeMessage(current);
        if (kind == Kind::Response && !isFinalStatus(message->status) && !isInterimStatus(message->status)) {
            return Error {ErrorCode::AnswerTruncated, "status " + std::to_string(message->status) + " is none of HTTP"};
        }
        const bool isInterim = kind == Kind::Response && isInterimStatus(message->status);
        interimBytes = isInterim ? interimBytes + messageBytes : 0;
        restart();
        return message;
    }
};

HttpParser::HttpParser(Kind kind, const HttpLimits &limits) : m_state(std::make_unique<State>(kind, limits))
{ }

HttpParser::~HttpParser() = default;

void HttpParser::append(std::string_view bytes)
{
    m_state->input.erase(0, m_state->inputBegin);
    m_state->inputBegin = 0;
    m_state->input += bytes;
}

Result<std::optional<HttpMessage>> HttpParser::tryNext()
{
    if (auto *request = std::get_if<RequestParser>(&m_state->parser)) {
        return m_state->advance(*request);
    }
    while (true) {
        Result<std::optional<HttpMessage>> next = m_state->advance(std::get<ResponseParser>(m_state->parser));
        const bool isInterim = !isError(next) && valueOf(next) && isInterimStatus(valueOf(next)->status);
        if (!isInterim) {
            return next;
        }
        if (m_state->interimBytes > m_state->limits.headBytes) {
            return Error {
                ErrorCode::AnswerTooLarge, "more than " + std::to_string(m_state->limits.headBytes) + " bytes of interim responses"};
        }
    }
}

Result<std::optional<HttpMessage>> HttpParser::tryEnd()
{
    if (!m_state->hasStarted && m_state->unread() == 0) {
        return std::optional<HttpMessage>();
    }
    auto *response = std::get_if<ResponseParser>(&m_state->parser);
    if (response == nullptr) {
        return Error {ErrorCode::AnswerTruncated, "the connection ended inside a request"};
    }
    boost::system::error_code error;
    if (response->is_header_done()) {
        response->put_eof(error);
    }
    if (error || !response->is_done()) {
        return Error {ErrorCode::AnswerTruncated, "the connection ended inside an answer"};
    }
    std::optional<HttpMessage> message = m_state->takeMessage(*response);
    if (!isFinalStatus(message->status)) {
        return Error {ErrorCode::AnswerTruncated, "the connection ended before a final status"};
    }
    message->isLast = true;
    m_state->restart();
    return message;
}

void HttpParser::expectNoBody()
{
    m_state->isBodyForbidden = true;
    if (auto *response = std::get_if<ResponseParser>(&m_state->parser)) {
        response->skip(true);
    }
}

bool HttpParser::isBetweenMessages() const
{
    return !m_state->hasStarted && m_state->unread() == 0;
}

std::size_t HttpParser::bytesHeld() const
{
    const std::size_t bodyBytes = std::visit(
        [](const auto &parser) -> std::size_t {
            if constexpr (std::is_same_v<std::decay_t<decltype(parser)>, std::monostate>) {
                return 0;
            } else {
                return memoryOf(parser.get().body());
            }
        },
        m_state->parser);
    return bodyBytes + m_state->headMemory + memoryOf(m_state->input);
}

void HttpParser::discard()
{
    m_state->input = std::string();
    m_state->inputBegin = 0;
    m_state->restart();
}

bool HttpParser::hasHead() const
{
    return std::visit(
        [](const auto &parser) {
            if constexpr (std::is_same_v<std::decay_t<decltype(parser)>, std::monostate>) {
                return false;
            } else {
                return parser.is_header_done();
            }
        },
        m_state->parser);
}

bool HttpParser::takeContinueWish()
{
    const auto *request = std::get_if<RequestParser>(&m_state->parser);
    if (request == nullptr || m_state->isContinueTold || !request->is_header_done()) {
        return false;
    }
    const std::string expectation = toLowerAscii(toText(request->get()[Http::field::expect]));
    if (expectation != "100-continue") {
        return false;
    }
    m_state->isContinueTold = true;
    return true;
}

} // namespace Fuchsiastep
