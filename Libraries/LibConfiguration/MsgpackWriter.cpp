#include <LibConfiguration/MsgpackWriter.h>

namespace Fuchsiastep {

void MsgpackWriter::put(const Digest &digest)
{
    beginArray(digest.lanes.size());
    for (const std::uint64_t lane : digest.lanes) {
        put(lane);
    }
}

void MsgpackWriter::put(const Labels &labels)
{
    m_packer.pack_map(static_cast<std::uint32_t>(labels.size()));
    for (const auto &[name, value] : labels) {
        put(std::string_view(name));
        put(std::string_view(value));
    }
}

void MsgpackWriter::put(const std::vector<std::string> &strings)
{
    beginArray(strings.size());
    for (const std::string &text : strings) {
        put(std::string_view(text));
    }
}

void MsgpackWriter::put(const ObjectName &name)
{
    beginArray(2);
    putEnumerator(name.kind);
    put(std::string_view(name.name));
}

void MsgpackWriter::put(const RouteRules &rules)
{
    // The last field is left out where it has its default, so that the digests of earlier configurations stay the same.
    beginArray(rules.isPublic ? 9 : 8);
    put(static_cast<std::int64_t>(rules.timeout.count()));
    put(rules.repeatableMethods);
    put(rules.isKeyRequired);
    put(static_cast<std::uint64_t>(rules.maximumRetries));
    putEnumerator(rules.priority);
    putEnumerator(rules.locality);
    put(static_cast<std::int64_t>(rules.targetLatency.count()));
    putEnumerator(rules.repeatability);
    if (rules.isPublic) {
        put(rules.isPublic);
    }
}

void MsgpackWriter::put(const DeclaredObject &object)
{
    std::visit(Overloaded {
                   [&](const ServiceDeclaration &service) {
                       beginArray(3);
                       putEnumerator(ObjectKind::Service);
                       put(std::string_view(service.name));
                       put(service.labels);
                   },
                   [&](const UpstreamLabels &upstream) {
                       beginArray(4);
                       putEnumerator(ObjectKind::Upstream);
                       put(std::string_view(upstream.upstreamId));
                       put(std::string_view(upstream.service));
                       put(upstream.labels);
                   },
                   [&](const Selector &selector) {
                       beginArray(11);
                       putEnumerator(ObjectKind::Selector);
                       put(std::string_view(selector.name));
                       put(selector.callers);
                       put(std::string_view(selector.service));
                       put(selector.upstreams);
                       put(selector.methods);
                       put(std::string_view(selector.pathPrefix));
                       put(static_cast<std::int64_t>(selector.precedence));
                       put(std::string_view(selector.host));
                       put(static_cast<std::uint64_t>(selector.weight));
                       put(selector.rules);
                   },
                   [&](const Workspace &workspace) {
                       beginArray(6);
                       putEnumerator(ObjectKind::Workspace);
                       put(std::string_view(workspace.name));
                       beginArray(workspace.keys.size());
                       for (const Digest &key : workspace.keys) {
                           put(key);
                       }
                       // 0 stands for none.
                       put(workspace.priority ? static_cast<std::uint64_t>(*workspace.priority) + 1 : std::uint64_t(0));
                       put(workspace.milliRequestsPerSecond);
                       put(workspace.burst);
                   },
               },
        object);
}

} // namespace Fuchsiastep
