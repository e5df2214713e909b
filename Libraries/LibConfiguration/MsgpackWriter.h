#pragma once

#include <LibConfiguration/DeclaredObject.h>

#include <msgpack.hpp>

namespace Fuchsiastep {

/// Appends configuration types to one msgpack buffer. Slow to compile: for source files only.
class MsgpackWriter
{
public:
    void beginArray(std::size_t size)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(size));
    }
    void put(std::uint64_t value)
    {
        m_packer.pack(value);
    }
    void put(std::int64_t value)
    {
        m_packer.pack(value);
    }
    void put(bool value)
    {
        value ? m_packer.pack_true() : m_packer.pack_false();
    }
    void put(std::string_view value)
    {
        m_packer.pack_bin(static_cast<std::uint32_t>(value.size()));
        m_packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
    }
    template<typename Enumeration>
    void putEnumerator(Enumeration value)
    {
        put(static_cast<std::uint64_t>(value));
    }
    void put(const Digest &digest);
    void put(const Labels &labels);
    void put(const std::vector<std::string> &strings);
    void put(const ObjectName &name);
    void put(const RouteRules &rules);
    void put(const DeclaredObject &object);

    std::string take() const
    {
        return {m_buffer.data(), m_buffer.size()};
    }

private:
    msgpack::sbuffer m_buffer;
    msgpack::packer<msgpack::sbuffer> m_packer {m_buffer};
};

} // namespace Fuchsiastep
