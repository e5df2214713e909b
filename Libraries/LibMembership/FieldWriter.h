#pragma once

// Included by codec sources only: the msgpack headers are slow to compile.

#include <LibCore/Digest.h>

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace Fuchsiastep {

/// Packs fields in the shortest msgpack form.
class FieldWriter
{
public:
    FieldWriter() : m_packer(m_buffer)
    { }

    void beginArray(std::size_t count)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(count));
    }
    void beginMap(std::size_t count)
    {
        m_packer.pack_map(static_cast<std::uint32_t>(count));
    }
    void put(std::uint64_t value)
    {
        m_packer.pack_uint64(value);
    }
    void put(bool value)
    {
        value ? m_packer.pack_true() : m_packer.pack_false();
    }
    void put(const std::string &value)
    {
        m_packer.pack_str(static_cast<std::uint32_t>(value.size()));
        m_packer.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
    }
    void put(const Digest &digest)
    {
        beginArray(digest.lanes.size());
        for (const std::uint64_t lane : digest.lanes) {
            put(lane);
        }
    }
    void putNil()
    {
        m_packer.pack_nil();
    }
    /// Appends a value that is packed already.
    void putPacked(const std::string &packed)
    {
        m_buffer.write(packed.data(), packed.size());
    }
    std::string bytes() const
    {
        return {m_buffer.data(), m_buffer.size()};
    }

private:
    msgpack::sbuffer m_buffer;
    msgpack::packer<msgpack::sbuffer> m_packer;
};

} // namespace Fuchsiastep
