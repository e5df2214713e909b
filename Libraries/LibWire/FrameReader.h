#pragma once

// Included by FrameCodec.cpp only: the msgpack headers are slow to compile.

#include <LibCore/Digest.h>
#include <LibCore/ErrorCode.h>
#include <LibWire/FrameWriter.h>
#include <LibWire/HeaderList.h>
#include <LibWire/LoadReport.h>
#include <LibWire/RequestOutcome.h>

#include <msgpack.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <type_traits>

namespace Fuchsiastep {

/// Reads the fields of one msgpack array in order. Once a field has the wrong type, ok() stays false.
class FrameReader
{
public:
    explicit FrameReader(const msgpack::object_array &fields) : m_fields(fields)
    { }

    bool ok() const
    {
        return m_isOk;
    }

    template<typename Number>
    requires std::is_integral_v<Number> &&(!std::is_same_v<Number, bool>)void take(Number &value)
    {
        const msgpack::object *field = next(msgpack::type::POSITIVE_INTEGER);
        if (field == nullptr || field->via.u64 > std::numeric_limits<Number>::max()) {
            m_isOk = false;
            return;
        }
        value = static_cast<Number>(field->via.u64);
    }
    void take(bool &value)
    {
        const msgpack::object *field = next(msgpack::type::BOOLEAN);
        value = field != nullptr && field->via.boolean;
    }
    void take(std::string &value)
    {
        readBytes(next(msgpack::type::BIN), value);
    }
    void take(HeaderList &headers)
    {
        const msgpack::object *field = next(msgpack::type::MAP);
        if (field == nullptr) {
            return;
        }
        for (std::uint32_t i = 0; i < field->via.map.size; ++i) {
            const msgpack::object_kv &pair = field->via.map.ptr[i];
            std::string name;
            readBytes(&pair.key, name);
            readBytes(&pair.val, headers[name]);
        }
    }
    void take(Digest &digest)
    {
        const msgpack::object *field = next(msgpack::type::ARRAY);
        if (field == nullptr || field->via.array.size != digest.lanes.size()) {
            m_isOk = false;
            return;
        }
        FrameReader lanes(field->via.array);
        for (std::uint64_t &lane : digest.lanes) {
            lanes.take(lane);
        }
        m_isOk = m_isOk && lanes.ok();
    }
    void take(LoadReport &load)
    {
        const msgpack::object *field = next(msgpack::type::ARRAY);
        if (field == nullptr || field->via.array.size != LoadReportFields) {
            m_isOk = false;
            return;
        }
        FrameReader numbers(field->via.array);
        numbers.take(load.slots);
        numbers.take(load.slotsInUse);
        numbers.take(load.queued);
        numbers.take(load.reportedPermille);
        numbers.take(load.serviceMs);
        numbers.take(load.failurePermille);
        numbers.take(load.transferMs);
        m_isOk = m_isOk && numbers.ok();
    }
    void take(RequestOutcome &outcome)
    {
        std::uint8_t number = 0;
        take(number);
        if (number > static_cast<std::uint8_t>(RequestOutcome::Unknown)) {
            m_isOk = false;
            return;
        }
        outcome = static_cast<RequestOutcome>(number);
    }
    void take(ErrorCode &code)
    {
        std::uint16_t number = 0;
        take(number);
        code = static_cast<ErrorCode>(number);
    }

    template<typename... Fields>
    void takeAll(Fields &...fields)
    {
        (take(fields), ...);
    }

private:
    const msgpack::object *next(msgpack::type::object_type type)
    {
        if (!m_isOk || m_position >= m_fields.size || m_fields.ptr[m_position].type != type) {
            m_isOk = false;
            return nullptr;
        }
        return &m_fields.ptr[m_position++];
    }
    void readBytes(const msgpack::object *field, std::string &value)
    {
        if (field == nullptr || field->type != msgpack::type::BIN) {
            m_isOk = false;
            return;
        }
        value.assign(field->via.bin.ptr, field->via.bin.size);
    }

    const msgpack::object_array &m_fields;
    std::uint32_t m_position = 0;
    bool m_isOk = true;
};

} // namespace Fuchsiastep
