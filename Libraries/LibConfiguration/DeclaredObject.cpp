#include <LibConfiguration/DeclaredObject.h>

#include <LibConfiguration/MsgpackReader.h>
#include <LibConfiguration/MsgpackWriter.h>

namespace Fuchsiastep {

static constexpr std::size_t MaximumObjectBytes = 1024 * 1024;

ObjectName nameOf(const DeclaredObject &object)
{
    return std::visit(Overloaded {
                          [](const ServiceDeclaration &service) {
                              return ObjectName {ObjectKind::Service, service.name};
                          },
                          [](const UpstreamLabels &upstream) {
                              return ObjectName {ObjectKind::Upstream, upstream.upstreamId};
                          },
                          [](const Selector &selector) {
                              return ObjectName {ObjectKind::Selector, selector.name};
                          },
                          [](const Workspace &workspace) {
                              return ObjectName {ObjectKind::Workspace, workspace.name};
                          },
                      },
        object);
}

std::string encodeObject(const DeclaredObject &object)
{
    MsgpackWriter writer;
    writer.put(object);
    return writer.take();
}

Result<DeclaredObject> tryDecodeObject(std::string_view bytes)
{
    // The reader takes nested arrays, so the object is read as the only item of an array of one.
    constexpr char ArrayOfOne = '\x91';
    DeclaredObject object;
    if (!readMsgpack(ArrayOfOne + std::string(bytes), MaximumObjectBytes, [&](MsgpackReader &reader) { object = reader.takeObject(); })) {
        return Error {ErrorCode::DeclarationMalformed, "an encoded object is not valid"};
    }
    return object;
}

Digest digestOf(const DeclaredObject &object)
{
    return Digest::of(encodeObject(object));
}

} // namespace Fuchsiastep
