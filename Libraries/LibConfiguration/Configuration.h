#pragma once

#include <LibConfiguration/DeclaredObject.h>
#include <LibCore/Digest.h>
#include <LibCore/Result.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// Number of a configuration in the one sequence of accepted changes; 0 means none.
using ConfigurationVersion = std::uint64_t;

struct ConfigurationDelta;

/// One whole configuration version. Immutable; versions share the objects and index parts that a change leaves alone,
/// so that applying a delta costs time in proportion to the delta.
class Configuration
{
public:
    using Pointer = std::shared_ptr<const Configuration>;

    /// Version 0, which has no objects.
    static Pointer empty();

    ConfigurationVersion version() const;
    const Digest &digest() const;
    std::size_t objectCount() const;

    /// nullptr where there is no such object.
    std::shared_ptr<const ServiceDeclaration> service(std::string_view name) const;
    std::shared_ptr<const UpstreamLabels> upstreamLabels(std::string_view upstreamId) const;
    std::shared_ptr<const Selector> selector(std::string_view name) const;
    /// The selectors of one service, by name.
    std::vector<std::shared_ptr<const Selector>> selectorsOf(std::string_view service) const;
    std::shared_ptr<const Workspace> workspace(std::string_view name) const;
    /// The workspace that holds a key with this digest; nullptr where none does.
    std::shared_ptr<const Workspace> workspaceOfKey(const Digest &key) const;
    bool hasWorkspaces() const;
    /// By name.
    std::vector<std::shared_ptr<const Workspace>> workspaces() const;
    /// The upstream labels of one service, by upstream id.
    std::vector<std::shared_ptr<const UpstreamLabels>> upstreamLabelsOf(std::string_view service) const;
    /// Nothing where there is no such object.
    std::optional<DeclaredObject> object(const ObjectName &name) const;
    /// Services, then upstream labels, then selectors, then workspaces; each by name.
    void forEachObject(const std::function<void(const DeclaredObject &)> &visit) const;

    /// Calls \a visit with each service whose declaration, upstream labels or selectors differ from those of
    /// \a other. Costs time in proportion to the difference where one is derived from the other.
    void forEachChangedService(const Configuration &other, const std::function<void(const std::string &)> &visit) const;

    /// Calls \a visit with the name of each selector that is not the same in \a other. Costs as above.
    void forEachChangedSelector(const Configuration &other, const std::function<void(const std::string &)> &visit) const;

    /// The configuration that \a delta leads to. All or nothing. Fails with VersionTooLow, BaseMismatch, DigestMismatch
    /// or DanglingReference (a selector or upstream names a service that the result does not have).
    /// Removing a missing object has no effect, because a merged delta also removes what it would have
    /// introduced; the digest shows whether the result is the right one.
    Result<Pointer> tryApply(const ConfigurationDelta &delta) const;

    /// msgpack of every object, in canonical order.
    std::string encode() const;
    /// Fails with DeclarationMalformed, DigestMismatch or DanglingReference.
    static Result<Pointer> tryDecode(std::string_view bytes, ConfigurationVersion version, const Digest &digest);
    /// Fails with DuplicateObject, DigestMismatch or DanglingReference.
    static Result<Pointer> tryBuild(const std::vector<DeclaredObject> &objects, ConfigurationVersion version, const Digest &digest);

    // The content is in Configuration.cpp.
    struct Content;
    explicit Configuration(std::shared_ptr<const Content> content);

private:
    std::shared_ptr<const Content> m_content;
};

} // namespace Fuchsiastep
