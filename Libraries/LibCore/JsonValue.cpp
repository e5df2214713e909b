#include <LibCore/JsonValue.h>

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace Fuchsiastep {

static constexpr std::size_t MaximumDepth = 64;

namespace {

/// Builds a value from the events of the parser, which keeps no stack of its own frames for nested values.
class ValueBuilder
{
public:
    // NOLINTBEGIN(readability-identifier-naming): the parser calls its handler by these names.
    bool null()
    {
        return add(JsonValue());
    }
    bool boolean(bool value)
    {
        return add(value);
    }
    bool number_integer(std::int64_t value)
    {
        return add(value);
    }
    bool number_unsigned(std::uint64_t value)
    {
        // A larger number must not wrap round to one that a range check lets pass.
        if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
            return add(static_cast<double>(value));
        }
        return add(static_cast<std::int64_t>(value));
    }
    bool number_float(double value, const std::string & /*text*/)
    {
        return add(value);
    }
    bool string(std::string &value)
    {
        return add(std::move(value));
    }
    bool binary(std::vector<std::uint8_t> & /*value*/)
    {
        return false;
    }
    bool start_object(std::size_t /*size*/)
    {
        return open(JsonValue::Object());
    }
    bool key(std::string &name)
    {
        m_open.back().key = std::move(name);
        return true;
    }
    bool end_object()
    {
        return close();
    }
    bool start_array(std::size_t /*size*/)
    {
        return open(JsonValue::Array());
    }
    bool end_array()
    {
        return close();
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, const nlohmann::detail::exception &exception)
    {
        m_error = exception.what();
        return false;
    }

    // NOLINTEND(readability-identifier-naming)

    JsonValue takeRoot()
    {
        return std::move(m_root);
    }
    const std::string &error() const
    {
        return m_error;
    }

private:
    struct Container
    {
        JsonValue value;
        /// Of the next member, where the value is an object.
        std::string key;
    };

    bool add(JsonValue value)
    {
        if (m_open.empty()) {
            m_root = std::move(value);
            return true;
        }
        Container &parent = m_open.back();
        if (auto *members = std::get_if<JsonValue::Object>(&parent.value.content)) {
            members->insert_or_assign(std::move(parent.key), std::move(value));
        } else {
            std::get<JsonValue::Array>(parent.value.content).push_back(std::move(value));
        }
        return true;
    }

    bool open(JsonValue container)
    {
        if (m_open.size() == MaximumDepth) {
            m_error = "nested more than " + std::to_string(MaximumDepth) + " levels deep";
            return false;
        }
        m_open.push_back({std::move(container), {}});
        return true;
    }

    bool close()
    {
        JsonValue value = std::move(m_open.back().value);
        m_open.pop_back();
        return add(std::move(value));
    }

    std::vector<Container> m_open;
    JsonValue m_root;
    std::string m_error;
};

} // namespace

Result<JsonValue> JsonValue::tryParse(std::string_view text)
{
    ValueBuilder builder;
    if (!nlohmann::json::sax_parse(text.begin(), text.end(), &builder)) {
        return Error {ErrorCode::JsonMalformed, builder.error()};
    }
    return builder.takeRoot();
}

static nlohmann::json toLibraryValue(const JsonValue &value)
{
    return std::visit(Overloaded {
                          [](const JsonValue::Array &content) {
                              nlohmann::json array = nlohmann::json::array();
                              for (const JsonValue &item : content) {
                                  array.push_back(toLibraryValue(item));
                              }
                              return array;
                          },
                          [](const JsonValue::Object &content) {
                              nlohmann::json object = nlohmann::json::object();
                              for (const auto &[name, member] : content) {
                                  object[name] = toLibraryValue(member);
                              }
                              return object;
                          },
                          [](const auto &content) { return nlohmann::json(content); },
                      },
        value.content);
}

std::string JsonValue::toText(bool indented) const
{
    constexpr int Indent = 2;
    // Bytes from outside that are not valid UTF-8 are replaced; they must not stop a status or an answer.
    return toLibraryValue(*this).dump(indented ? Indent : -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Fuchsiastep
