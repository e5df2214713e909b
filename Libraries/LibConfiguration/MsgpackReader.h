#pragma once

#include <LibConfiguration/DeclaredObject.h>

#include <msgpack.hpp>

#include <exception>
#include <functional>
#include <limits>

namespace Fuchsiastep {

/// Reads the items of one msgpack array in order. After the first item of the wrong type or range ok() is
/// false and everything read is empty. Slow to compile: for source files only.
class MsgpackReader
{
public:
    /// Not ok where \a object is not an array.
    explicit MsgpackReader(const msgpack::object &object);

    bool ok() const
    {
        return m_isOk;
    }
    /// Every item was read and was valid.
    bool isComplete() const
    {
        return m_isOk && m_position == m_size;
    }
    bool hasMore() const
    {
        return m_isOk && m_position < m_size;
    }

    std::uint64_t takeUnsigned(std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max());
    std::int64_t takeSigned(std::int64_t minimum, std::int64_t maximum);
    bool takeBool();
    std::string takeString();
    template<typename Enumeration>
    Enumeration takeEnumerator(Enumeration last)
    {
        return static_cast<Enumeration>(takeUnsigned(static_cast<std::uint64_t>(last)));
    }
    Digest takeDigest();
    std::vector<Digest> takeDigests();
    Labels takeLabels();
    std::vector<std::string> takeStrings();
    ObjectName takeObjectName();
    RouteRules takeRules();
    DeclaredObject takeObject();
    /// The next item, an array that \a read reads completely.
    template<typename Value>
    Value takeNested(Value (*read)(MsgpackReader &))
    {
        MsgpackReader inner = nested();
        Value value = read(inner);
        check(inner);
        return value;
    }
    /// The next item, an array, calling \a read until it has no more items.
    void takeArray(const std::function<void(MsgpackReader &)> &read);

private:
    const msgpack::object *next();
    MsgpackReader nested();
    void check(const MsgpackReader &inner)
    {
        m_isOk = m_isOk && inner.isComplete();
    }
    std::string bytesOf(const msgpack::object &field);

    const msgpack::object *m_items = nullptr;
    std::uint32_t m_size = 0;
    std::uint32_t m_position = 0;
    bool m_isOk = true;
};

/// Unpacks \a bytes as one array and calls \a read with its reader. Returns false where the bytes are longer
/// than \a maximumBytes, not valid msgpack, or not read completely.
bool readMsgpack(std::string_view bytes, std::size_t maximumBytes, const std::function<void(MsgpackReader &)> &read);

} // namespace Fuchsiastep
