#include <LibConfiguration/SnapshotObject.h>

#include <LibConfiguration/MsgpackReader.h>
#include <LibConfiguration/MsgpackWriter.h>

namespace Fuchsiastep {

static constexpr std::size_t MaximumSnapshotBytes = 65 * 1024 * 1024;

std::string encodeSnapshot(const Configuration &configuration)
{
    MsgpackWriter writer;
    writer.beginArray(3);
    writer.put(configuration.version());
    writer.put(configuration.digest());
    writer.put(std::string_view(configuration.encode()));
    return writer.take();
}

Result<Configuration::Pointer> tryDecodeSnapshot(std::string_view bytes)
{
    ConfigurationVersion version = 0;
    Digest digest;
    std::string content;
    const bool isRead = readMsgpack(bytes, MaximumSnapshotBytes, [&](MsgpackReader &reader) {
        version = reader.takeUnsigned();
        digest = reader.takeDigest();
        content = reader.takeString();
    });
    if (!isRead) {
        return Error {ErrorCode::PlatformMalformedAnswer, "a snapshot is not valid"};
    }
    return Configuration::tryDecode(content, version, digest);
}

} // namespace Fuchsiastep
