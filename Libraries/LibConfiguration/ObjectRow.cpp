#include <LibConfiguration/ObjectRow.h>

#include <LibConfiguration/MsgpackReader.h>
#include <LibConfiguration/MsgpackWriter.h>

namespace Fuchsiastep {

static constexpr std::size_t MaximumObjectRowBytes = 1024 * 1024;

std::string ObjectRow::encode() const
{
    MsgpackWriter writer;
    writer.beginArray(2);
    writer.put(version);
    writer.put(object);
    return writer.take();
}

Result<ObjectRow> ObjectRow::tryDecode(std::string_view bytes)
{
    ObjectRow row;
    const bool isRead = readMsgpack(bytes, MaximumObjectRowBytes, [&](MsgpackReader &reader) {
        row.version = reader.takeUnsigned();
        row.object = reader.takeObject();
    });
    if (!isRead) {
        return Error {ErrorCode::PlatformMalformedAnswer, "an object row is not valid"};
    }
    return row;
}

} // namespace Fuchsiastep
