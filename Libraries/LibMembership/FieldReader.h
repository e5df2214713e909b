#pragma once

// Included by codec sources only: the msgpack headers are slow to compile.

#include <LibConfiguration/Labels.h>
#include <LibCore/Digest.h>
#include <LibCore/Result.h>

#include <msgpack.hpp>

#include <cstdint>
#include <exception>
#include <limits>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// Takes the fields of one msgpack array in order. A field of the wrong type or range makes ok() false, and what is
/// taken after it stays as it was.
class FieldReader
{
public:
    /// A value that is no array of \a minimum to \a maximum fields makes ok() false.
    FieldReader(const msgpack::object &array, std::size_t minimum, std::size_t maximum)
    {
        m_isOk = array.type == msgpack::type::ARRAY && array.via.array.size >= minimum && array.via.array.size <= maximum;
        if (m_isOk) {
            m_fields = array.via.array;
        }
    }

    bool ok() const
    {
        return m_isOk;
    }
    bool isAtEnd() const
    {
        return !m_isOk || m_position >= m_fields.size;
    }
    void fail()
    {
        m_isOk = false;
    }

    template<typename Number>
    void takeNumber(Number &value)
    {
        const msgpack::object *field = next();
        if (field == nullptr || field->type != msgpack::type::POSITIVE_INTEGER
            || field->via.u64 > static_cast<std::uint64_t>(std::numeric_limits<Number>::max())) {
            m_isOk = false;
            return;
        }
        value = static_cast<Number>(field->via.u64);
    }
    template<typename Enumeration>
    void takeEnumerator(Enumeration &value, Enumeration last)
    {
        std::uint8_t number = 0;
        takeNumber(number);
        if (number > static_cast<std::uint8_t>(last)) {
            m_isOk = false;
            return;
        }
        value = static_cast<Enumeration>(number);
    }
    void take(bool &value)
    {
        const msgpack::object *field = next();
        m_isOk = field != nullptr && field->type == msgpack::type::BOOLEAN;
        value = m_isOk && field->via.boolean;
    }
    void take(std::string &value)
    {
        const msgpack::object *field = next();
        if (field == nullptr || !readText(*field, value)) {
            m_isOk = false;
        }
    }
    void take(Labels &labels)
    {
        const msgpack::object *field = next();
        if (field == nullptr || field->type != msgpack::type::MAP) {
            m_isOk = false;
            return;
        }
        for (std::uint32_t i = 0; i < field->via.map.size; ++i) {
            const msgpack::object_kv &pair = field->via.map.ptr[i];
            std::string name;
            std::string value;
            m_isOk = m_isOk && readText(pair.key, name) && readText(pair.val, value);
            labels[name] = value;
        }
    }
    void take(Digest &digest)
    {
        const msgpack::object *field = next();
        if (field == nullptr) {
            return;
        }
        FieldReader lanes(*field, digest.lanes.size(), digest.lanes.size());
        for (std::uint64_t &lane : digest.lanes) {
            lanes.takeNumber(lane);
        }
        m_isOk = lanes.ok();
    }
    /// The next field whatever its type; nullptr where there is none.
    const msgpack::object *next()
    {
        if (isAtEnd()) {
            m_isOk = false;
            return nullptr;
        }
        return &m_fields.ptr[m_position++];
    }

private:
    static bool readText(const msgpack::object &field, std::string &value)
    {
        if (field.type != msgpack::type::STR) {
            return false;
        }
        value.assign(field.via.str.ptr, field.via.str.size);
        return true;
    }

    msgpack::object_array m_fields {};
    std::uint32_t m_position = 0;
    bool m_isOk = false;
};

/// Unpacks \a bytes and calls \a read with the value, which fails by returning an Error. Fails with FrameMalformed.
template<typename T, typename Read>
Result<T> tryUnpack(std::string_view bytes, Read read)
{
    constexpr std::size_t MaximumItems = 65536;
    constexpr std::size_t MaximumLabels = 256;
    constexpr std::size_t MaximumTextBytes = 4096;
    constexpr std::size_t MaximumNesting = 8;
    // The limits keep a short hostile body from asking for a large allocation.
    const msgpack::unpack_limit limit(MaximumItems, MaximumLabels, MaximumTextBytes, 0, 0, MaximumNesting);
    try {
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size()) {
            return Error {ErrorCode::FrameMalformed, "bytes after the msgpack value"};
        }
        return read(handle.get());
    } catch (const std::exception &exception) {
        return Error {ErrorCode::FrameMalformed, exception.what()};
    }
}

} // namespace Fuchsiastep
