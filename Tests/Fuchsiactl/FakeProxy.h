#pragma once

#include <LibCore/LibCore.h>

#include <libsoup/soup.h>

#include <deque>
#include <map>
#include <string>

namespace Fuchsiastep {

/// How the fake proxy takes one submitted change.
enum class FakeSubmission {
    Accept,
    /// Stores the change and closes the connection without an answer.
    AcceptAndLoseAnswer,
    /// Closes the connection and stores nothing.
    LoseRequest,
    Conflict,
    PlatformDown,
    OutcomeUnknown,
    Dangling,
    NoAnswer,
};

/// A control address with one version line, on the default main context. It listens on a port that the kernel chose.
class FakeProxy
{
public:
    explicit FakeProxy(std::string proxyId) : m_proxyId(std::move(proxyId)), m_server(soup_server_new(nullptr, nullptr))
    {
        GSocketAddress *local = g_inet_socket_address_new_from_string("127.0.0.1", 0);
        soup_server_listen(m_server, local, static_cast<SoupServerListenOptions>(0), nullptr);
        g_object_unref(local);
        GSList *uris = soup_server_get_uris(m_server);
        address = {"127.0.0.1", static_cast<std::uint16_t>(g_uri_get_port(static_cast<GUri *>(uris->data)))};
        g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
        soup_server_add_handler(m_server, nullptr, &FakeProxy::handle, this, nullptr);
    }

    ~FakeProxy()
    {
        soup_server_disconnect(m_server);
        g_object_unref(m_server);
    }

    FakeProxy(const FakeProxy &) = delete;
    FakeProxy &operator=(const FakeProxy &) = delete;

    SocketAddress address;
    std::int64_t version = 7;
    JsonValue::Object objects;
    /// The answer to GET /v1/operator/members; by default the proxy itself.
    JsonValue::Array members;
    /// What happens to the next changes; Accept when it is empty.
    std::deque<FakeSubmission> script;
    /// Requests that arrived, "POST /v1/operator/drain?query".
    std::vector<std::string> requests;
    std::vector<JsonValue> changes;
    /// Versions by operation id.
    std::map<std::string, std::int64_t> operations;
    bool isDrainAnswerLost = false;

    JsonValue asMember(const std::string &state, std::int64_t heldVersion) const
    {
        return JsonValue::Object {{"proxy", m_proxyId},
            {"data_centre", "gatton"},
            {"region", "qld-south"},
            {"state", state},
            {"control", address.toString()},
            {"peers", "127.0.0.1:9"},
            {"version", heldVersion}};
    }

private:
    static void handle(SoupServer *, SoupServerMessage *message, const char *path, GHashTable *, gpointer data)
    {
        const char *query = g_uri_get_query(soup_server_message_get_uri(message));
        const std::string method = soup_server_message_get_method(message);
        auto *self = static_cast<FakeProxy *>(data);
        self->requests.push_back(method + ' ' + path + (query != nullptr ? std::string("?") + query : ""));
        self->serve(message, path);
    }

    void serve(SoupServerMessage *message, const std::string &path)
    {
        if (path == "/v1/operator/objects") {
            JsonValue::Object document = objects;
            document["version"] = version;
            answer(message, 200, document);
        } else if (path == "/v1/operator/members") {
            answer(
                message, 200, JsonValue::Object {{"members", members.empty() ? JsonValue::Array {asMember("serving", version)} : members}});
        } else if (path == "/v1/operator/status") {
            answer(message,
                200,
                JsonValue::Object {
                    {"proxy", m_proxyId}, {"ready", true}, {"draining", false}, {"version", version}, {"known_version", version}});
        } else if (path == "/v1/operator/drain" && isDrainAnswerLost) {
            loseAnswer(message);
        } else if (path == "/v1/operator/drain") {
            answer(message, 202, JsonValue::Object {});
        } else if (path == "/v1/operator/changes") {
            takeChange(message);
        } else {
            answer(message, 400, failure(700, "no such path"));
        }
    }

    void takeChange(SoupServerMessage *message)
    {
        const SoupMessageBody *body = soup_server_message_get_request_body(message);
        const Result<JsonValue> change = JsonValue::tryParse({body->data, static_cast<std::size_t>(body->length)});
        changes.push_back(isError(change) ? JsonValue() : valueOf(change));
        const FakeSubmission submission = script.empty() ? FakeSubmission::Accept : script.front();
        if (!script.empty()) {
            script.pop_front();
        }
        switch (submission) {
        case FakeSubmission::Accept:
            answer(message, 200, JsonValue::Object {{"version", store()}, {"digest", "d"}});
            return;
        case FakeSubmission::AcceptAndLoseAnswer:
            store();
            loseAnswer(message);
            return;
        case FakeSubmission::LoseRequest:
            loseAnswer(message);
            return;
        case FakeSubmission::Conflict:
            answer(message, 409, failure(406, "selector/night-orders was changed by aoife in version 8"));
            return;
        case FakeSubmission::PlatformDown:
            answer(message, 503, failure(300, "platform"));
            return;
        case FakeSubmission::OutcomeUnknown:
            answer(message, 503, failure(407, "submit the operation again"));
            return;
        case FakeSubmission::Dangling:
            answer(message, 422, failure(401, "selector/x names service/y"));
            return;
        case FakeSubmission::NoAnswer:
            soup_server_message_pause(message);
            return;
        }
    }

    std::int64_t store()
    {
        const auto &change = std::get<JsonValue::Object>(changes.back().content);
        const auto [operation, isNew] = operations.try_emplace(std::get<std::string>(change.at("operation").content), version + 1);
        version += isNew ? 1 : 0;
        return operation->second;
    }

    static JsonValue::Object failure(std::int64_t code, const std::string &detail)
    {
        return {{"code", code}, {"name", "ignored"}, {"detail", detail}};
    }

    static void loseAnswer(SoupServerMessage *message)
    {
        GIOStream *stream = soup_server_message_steal_connection(message);
        g_io_stream_close(stream, nullptr, nullptr);
        g_object_unref(stream);
    }

    static void answer(SoupServerMessage *message, guint status, const JsonValue::Object &body)
    {
        const std::string text = JsonValue(body).toText();
        soup_server_message_set_status(message, status, nullptr);
        soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
    }

    std::string m_proxyId;
    SoupServer *m_server;
};

} // namespace Fuchsiastep
