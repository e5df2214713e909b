#include <LibConfiguration/OperationRow.h>

#include <LibConfiguration/MsgpackReader.h>
#include <LibConfiguration/MsgpackWriter.h>

namespace Fuchsiastep {

static constexpr std::size_t MaximumOperationBytes = 64;

std::string OperationRow::encode() const
{
    MsgpackWriter writer;
    writer.beginArray(1);
    writer.put(version);
    return writer.take();
}

Result<OperationRow> OperationRow::tryDecode(std::string_view bytes)
{
    OperationRow row;
    if (!readMsgpack(bytes, MaximumOperationBytes, [&](MsgpackReader &reader) { row.version = reader.takeUnsigned(); })) {
        return Error {ErrorCode::PlatformMalformedAnswer, "an operation row is not valid"};
    }
    return row;
}

} // namespace Fuchsiastep
