#include <LibConfiguration/HeadRow.h>

#include <LibConfiguration/MsgpackReader.h>
#include <LibConfiguration/MsgpackWriter.h>

namespace Fuchsiastep {

static constexpr std::size_t MaximumHeadBytes = 256;

std::string HeadRow::encode() const
{
    MsgpackWriter writer;
    writer.beginArray(2);
    writer.put(version);
    writer.put(digest);
    return writer.take();
}

Result<HeadRow> HeadRow::tryDecode(std::string_view bytes)
{
    HeadRow row;
    const bool isRead = readMsgpack(bytes, MaximumHeadBytes, [&](MsgpackReader &reader) {
        row.version = reader.takeUnsigned();
        row.digest = reader.takeDigest();
    });
    if (!isRead) {
        return Error {ErrorCode::PlatformMalformedAnswer, "the head row is not valid"};
    }
    return row;
}

} // namespace Fuchsiastep
