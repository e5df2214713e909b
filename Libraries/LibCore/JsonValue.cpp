#include <LibCore/JsonValue.h>

#include <json-glib/json-glib.h>

namespace Fuchsiastep {

static constexpr int MaximumDepth = 64;

/// Returns false where the value is nested too deeply.
static bool convert(JsonNode *node, JsonValue &value, int depth);

static bool convertArray(JsonArray *array, JsonValue &value, int depth)
{
    JsonValue::Array items(json_array_get_length(array));
    for (guint i = 0; i < items.size(); ++i) {
        if (!convert(json_array_get_element(array, i), items[i], depth + 1)) {
            return false;
        }
    }
    value.content = std::move(items);
    return true;
}

static bool convertObject(JsonObject *object, JsonValue &value, int depth)
{
    JsonValue::Object members;
    JsonObjectIter iterator;
    json_object_iter_init(&iterator, object);
    const gchar *name = nullptr;
    JsonNode *member = nullptr;
    while (json_object_iter_next(&iterator, &name, &member)) {
        if (!convert(member, members[name], depth + 1)) {
            return false;
        }
    }
    value.content = std::move(members);
    return true;
}

static void convertScalar(JsonNode *node, JsonValue &value)
{
    switch (json_node_get_value_type(node)) {
    case G_TYPE_BOOLEAN:
        value.content = json_node_get_boolean(node) != FALSE;
        return;
    case G_TYPE_INT64:
        value.content = static_cast<std::int64_t>(json_node_get_int(node));
        return;
    case G_TYPE_DOUBLE:
        value.content = json_node_get_double(node);
        return;
    case G_TYPE_STRING:
        value.content = std::string(json_node_get_string(node));
        return;
    default:
        value.content = nullptr;
    }
}

static bool convert(JsonNode *node, JsonValue &value, int depth)
{
    if (depth > MaximumDepth) {
        return false;
    }
    switch (json_node_get_node_type(node)) {
    case JSON_NODE_ARRAY:
        return convertArray(json_node_get_array(node), value, depth);
    case JSON_NODE_OBJECT:
        return convertObject(json_node_get_object(node), value, depth);
    case JSON_NODE_VALUE:
        convertScalar(node, value);
        return true;
    case JSON_NODE_NULL:
        value.content = nullptr;
        return true;
    }
    return false;
}

/// The parser recurses, so a text nested too deeply is refused before it is parsed.
static bool isNestedTooDeeply(std::string_view text)
{
    int depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (isInString) {
            if (character == '\\') {
                ++i;
            } else if (character == '"') {
                isInString = false;
            }
            continue;
        }
        if (character == '"') {
            isInString = true;
        } else if (character == '[' || character == '{') {
            if (++depth > MaximumDepth) {
                return true;
            }
        } else if (character == ']' || character == '}') {
            --depth;
        }
    }
    return false;
}

Result<JsonValue> JsonValue::tryParse(std::string_view text)
{
    if (isNestedTooDeeply(text)) {
        return Error {ErrorCode::JsonMalformed, "nested more than 64 levels deep"};
    }
    if (!g_utf8_validate(text.data(), static_cast<gssize>(text.size()), nullptr)) {
        return Error {ErrorCode::JsonMalformed, "not valid UTF-8"};
    }
    JsonParser *parser = json_parser_new_immutable();
    GError *error = nullptr;
    const bool isParsed = json_parser_load_from_data(parser, text.data(), static_cast<gssize>(text.size()), &error) != FALSE;
    Result<JsonValue> result = Error {ErrorCode::JsonMalformed, error != nullptr ? error->message : "the text is empty"};
    g_clear_error(&error);
    JsonNode *root = isParsed ? json_parser_get_root(parser) : nullptr;
    if (root != nullptr) {
        JsonValue value;
        if (convert(root, value, 0)) {
            result = std::move(value);
        }
    }
    g_object_unref(parser);
    return result;
}

static JsonNode *buildNode(const JsonValue &value)
{
    return std::visit(Overloaded {
                          [](std::nullptr_t) { return json_node_new(JSON_NODE_NULL); },
                          [](bool content) { return json_node_init_boolean(json_node_alloc(), content ? TRUE : FALSE); },
                          [](std::int64_t content) { return json_node_init_int(json_node_alloc(), content); },
                          [](double content) { return json_node_init_double(json_node_alloc(), content); },
                          [](const std::string &content) { return json_node_init_string(json_node_alloc(), content.c_str()); },
                          [](const JsonValue::Array &content) {
                              JsonArray *array = json_array_sized_new(static_cast<guint>(content.size()));
                              for (const JsonValue &item : content) {
                                  json_array_add_element(array, buildNode(item));
                              }
                              JsonNode *node = json_node_new(JSON_NODE_ARRAY);
                              json_node_take_array(node, array);
                              return node;
                          },
                          [](const JsonValue::Object &content) {
                              JsonObject *object = json_object_new();
                              for (const auto &[name, member] : content) {
                                  json_object_set_member(object, name.c_str(), buildNode(member));
                              }
                              JsonNode *node = json_node_new(JSON_NODE_OBJECT);
                              json_node_take_object(node, object);
                              return node;
                          },
                      },
        value.content);
}

std::string JsonValue::toText(bool indented) const
{
    JsonNode *node = buildNode(*this);
    char *text = json_to_string(node, indented ? TRUE : FALSE);
    std::string result = text;
    g_free(text);
    json_node_unref(node);
    return result;
}

} // namespace Fuchsiastep
