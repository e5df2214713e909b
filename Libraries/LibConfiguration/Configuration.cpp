#include <LibConfiguration/Configuration.h>

#include <LibConfiguration/ConfigurationDelta.h>
#include <LibConfiguration/MsgpackReader.h>
#include <LibConfiguration/MsgpackWriter.h>
#include <LibConfiguration/PersistentMap.h>

#include <set>

namespace Fuchsiastep {

// About ten times the encoded size at the scale target.
static constexpr std::size_t MaximumConfigurationBytes = 64 * 1024 * 1024;

namespace {

/// Everything that names one service.
struct ServiceEntry
{
    std::shared_ptr<const ServiceDeclaration> declaration;
    PersistentMap<UpstreamLabels> upstreams;
    PersistentMap<Selector> selectors;

    bool isEmpty() const
    {
        return declaration == nullptr && upstreams.isEmpty() && selectors.isEmpty();
    }
};

/// The workspaces that hold a key of one part of the index.
struct KeyHolders
{
    /// More than one only where the digests of two keys begin alike, or where two workspaces hold one key.
    std::vector<std::shared_ptr<const Workspace>> workspaces;
};

/// Names the place of a key in the index: the beginning of its digest. The whole digest is compared in constant time.
std::string indexOfKey(const Digest &key)
{
    return std::to_string(key.lanes.front());
}

} // namespace

struct Configuration::Content
{
    ConfigurationVersion version = 0;
    Digest digest;
    PersistentMap<ServiceEntry> services;
    PersistentMap<UpstreamLabels> upstreams;
    PersistentMap<Selector> selectors;
    PersistentMap<Workspace> workspaces;
    PersistentMap<KeyHolders> keyHolders;
    std::size_t objectCount = 0;
};

namespace {

/// Changes a copy of a configuration's content object by object and keeps index, digest and count in step.
class ContentEditor
{
public:
    explicit ContentEditor(Configuration::Content content) : m_content(std::move(content))
    { }

    void store(const DeclaredObject &object)
    {
        remove(nameOf(object));
        std::visit([&](const auto &value) { add(value); }, object);
        m_content.digest += digestOf(object);
        ++m_content.objectCount;
    }

    void remove(const ObjectName &name)
    {
        switch (name.kind) {
        case ObjectKind::Service:
            removeService(name.name);
            return;
        case ObjectKind::Upstream:
            if (const auto upstream = m_content.upstreams.find(name.name)) {
                m_content.upstreams.remove(name.name);
                changeService(upstream->service, [&](ServiceEntry &entry) { entry.upstreams.remove(name.name); });
                forget(*upstream);
            }
            return;
        case ObjectKind::Selector:
            if (const auto selector = m_content.selectors.find(name.name)) {
                m_content.selectors.remove(name.name);
                changeService(selector->service, [&](ServiceEntry &entry) { entry.selectors.remove(name.name); });
                forget(*selector);
            }
            return;
        case ObjectKind::Workspace:
            if (const auto workspace = m_content.workspaces.find(name.name)) {
                m_content.workspaces.remove(name.name);
                for (const Digest &key : workspace->keys) {
                    changeHolders(key, [&](KeyHolders &holders) { std::erase(holders.workspaces, workspace); });
                }
                forget(*workspace);
            }
            return;
        }
    }

    Result<Configuration::Pointer> tryFinish(ConfigurationVersion version, const Digest &digest)
    {
        if (m_content.digest != digest) {
            return Error {ErrorCode::DigestMismatch, "version " + std::to_string(version) + " does not have the announced digest"};
        }
        for (const std::string &service : m_touchedServices) {
            const auto entry = m_content.services.find(service);
            if (entry != nullptr && entry->declaration == nullptr) {
                return Error {ErrorCode::DanglingReference, describeDangling(service, *entry)};
            }
        }
        m_content.version = version;
        return std::make_shared<const Configuration>(std::make_shared<const Configuration::Content>(std::move(m_content)));
    }

private:
    void add(const ServiceDeclaration &service)
    {
        changeService(service.name, [&](ServiceEntry &entry) { entry.declaration = std::make_shared<const ServiceDeclaration>(service); });
    }
    void add(const UpstreamLabels &upstream)
    {
        const auto item = std::make_shared<const UpstreamLabels>(upstream);
        m_content.upstreams.set(upstream.upstreamId, item);
        changeService(upstream.service, [&](ServiceEntry &entry) { entry.upstreams.set(upstream.upstreamId, item); });
    }
    void add(const Selector &selector)
    {
        const auto item = std::make_shared<const Selector>(selector);
        m_content.selectors.set(selector.name, item);
        changeService(selector.service, [&](ServiceEntry &entry) { entry.selectors.set(selector.name, item); });
    }

    void add(const Workspace &workspace)
    {
        const auto item = std::make_shared<const Workspace>(workspace);
        m_content.workspaces.set(workspace.name, item);
        for (const Digest &key : workspace.keys) {
            changeHolders(key, [&](KeyHolders &holders) { holders.workspaces.push_back(item); });
        }
    }

    template<typename Change>
    void changeHolders(const Digest &key, const Change &change)
    {
        const std::string index = indexOfKey(key);
        const auto current = m_content.keyHolders.find(index);
        auto holders = current != nullptr ? std::make_shared<KeyHolders>(*current) : std::make_shared<KeyHolders>();
        change(*holders);
        if (holders->workspaces.empty()) {
            m_content.keyHolders.remove(index);
        } else {
            m_content.keyHolders.set(index, std::move(holders));
        }
    }

    void removeService(const std::string &name)
    {
        const auto entry = m_content.services.find(name);
        if (entry == nullptr || entry->declaration == nullptr) {
            return;
        }
        forget(*entry->declaration);
        changeService(name, [](ServiceEntry &changed) { changed.declaration = nullptr; });
    }

    void forget(const DeclaredObject &object)
    {
        m_content.digest -= digestOf(object);
        --m_content.objectCount;
    }

    template<typename Change>
    void changeService(const std::string &name, const Change &change)
    {
        const auto current = m_content.services.find(name);
        auto entry = current != nullptr ? std::make_shared<ServiceEntry>(*current) : std::make_shared<ServiceEntry>();
        change(*entry);
        if (entry->isEmpty()) {
            m_content.services.remove(name);
        } else {
            m_content.services.set(name, std::move(entry));
        }
        m_touchedServices.insert(name);
    }

    static std::string describeDangling(const std::string &service, const ServiceEntry &entry)
    {
        const ObjectName name = entry.selectors.isEmpty()
            ? ObjectName {ObjectKind::Upstream, entry.upstreams.sortedItems().front()->upstreamId}
            : ObjectName {ObjectKind::Selector, entry.selectors.sortedItems().front()->name};
        return name.toString() + " names service \"" + service + "\", which is not declared";
    }

    Configuration::Content m_content;
    std::set<std::string> m_touchedServices;
};

} // namespace

Configuration::Configuration(std::shared_ptr<const Content> content) : m_content(std::move(content))
{ }

Configuration::Pointer Configuration::empty()
{
    static const Pointer Empty = std::make_shared<const Configuration>(std::make_shared<const Content>());
    return Empty;
}

ConfigurationVersion Configuration::version() const
{
    return m_content->version;
}

const Digest &Configuration::digest() const
{
    return m_content->digest;
}

std::size_t Configuration::objectCount() const
{
    return m_content->objectCount;
}

std::shared_ptr<const ServiceDeclaration> Configuration::service(std::string_view name) const
{
    const auto entry = m_content->services.find(name);
    return entry != nullptr ? entry->declaration : nullptr;
}

std::shared_ptr<const UpstreamLabels> Configuration::upstreamLabels(std::string_view upstreamId) const
{
    return m_content->upstreams.find(upstreamId);
}

std::shared_ptr<const Selector> Configuration::selector(std::string_view name) const
{
    return m_content->selectors.find(name);
}

std::vector<std::shared_ptr<const Selector>> Configuration::selectorsOf(std::string_view service) const
{
    const auto entry = m_content->services.find(service);
    return entry != nullptr ? entry->selectors.sortedItems() : std::vector<std::shared_ptr<const Selector>>();
}

std::shared_ptr<const Workspace> Configuration::workspace(std::string_view name) const
{
    return m_content->workspaces.find(name);
}

std::shared_ptr<const Workspace> Configuration::workspaceOfKey(const Digest &key) const
{
    const auto holders = m_content->keyHolders.find(indexOfKey(key));
    if (holders == nullptr) {
        return nullptr;
    }
    std::shared_ptr<const Workspace> found;
    for (const std::shared_ptr<const Workspace> &workspace : holders->workspaces) {
        for (const Digest &held : workspace->keys) {
            if (isSameKey(held, key)) {
                found = workspace;
            }
        }
    }
    return found;
}

bool Configuration::hasWorkspaces() const
{
    return !m_content->workspaces.isEmpty();
}

std::vector<std::shared_ptr<const Workspace>> Configuration::workspaces() const
{
    return m_content->workspaces.sortedItems();
}

std::vector<std::shared_ptr<const UpstreamLabels>> Configuration::upstreamLabelsOf(std::string_view service) const
{
    const auto entry = m_content->services.find(service);
    return entry != nullptr ? entry->upstreams.sortedItems() : std::vector<std::shared_ptr<const UpstreamLabels>>();
}

template<typename Value>
static std::optional<DeclaredObject> copyOf(const std::shared_ptr<const Value> &value)
{
    return value != nullptr ? std::optional<DeclaredObject>(*value) : std::nullopt;
}

std::optional<DeclaredObject> Configuration::object(const ObjectName &name) const
{
    switch (name.kind) {
    case ObjectKind::Service:
        return copyOf(service(name.name));
    case ObjectKind::Upstream:
        return copyOf(upstreamLabels(name.name));
    case ObjectKind::Selector:
        return copyOf(selector(name.name));
    case ObjectKind::Workspace:
        return copyOf(workspace(name.name));
    }
    return std::nullopt;
}

void Configuration::forEachObject(const std::function<void(const DeclaredObject &)> &visit) const
{
    for (const auto &entry : m_content->services.sortedItems()) {
        visit(*entry->declaration);
    }
    for (const auto &upstream : m_content->upstreams.sortedItems()) {
        visit(*upstream);
    }
    for (const auto &selector : m_content->selectors.sortedItems()) {
        visit(*selector);
    }
    for (const auto &workspace : m_content->workspaces.sortedItems()) {
        visit(*workspace);
    }
}

void Configuration::forEachChangedService(const Configuration &other, const std::function<void(const std::string &)> &visit) const
{
    m_content->services.forEachDifference(other.m_content->services, visit);
}

void Configuration::forEachChangedSelector(const Configuration &other, const std::function<void(const std::string &)> &visit) const
{
    m_content->selectors.forEachDifference(other.m_content->selectors, visit);
}

Result<Configuration::Pointer> Configuration::tryApply(const ConfigurationDelta &delta) const
{
    if (delta.baseVersion != version() || delta.baseDigest != digest()) {
        return Error {ErrorCode::BaseMismatch,
            "the delta starts from version " + std::to_string(delta.baseVersion) + ", not from version " + std::to_string(version())};
    }
    if (delta.targetVersion <= version()) {
        return Error {ErrorCode::VersionTooLow, "the delta leads to version " + std::to_string(delta.targetVersion)};
    }
    ContentEditor editor(*m_content);
    for (const ObjectName &name : delta.removed) {
        editor.remove(name);
    }
    for (const DeclaredObject &object : delta.stored) {
        editor.store(object);
    }
    return editor.tryFinish(delta.targetVersion, delta.targetDigest);
}

std::string Configuration::encode() const
{
    MsgpackWriter writer;
    writer.beginArray(objectCount());
    forEachObject([&](const DeclaredObject &object) { writer.put(object); });
    return writer.take();
}

Result<Configuration::Pointer> Configuration::tryDecode(std::string_view bytes, ConfigurationVersion version, const Digest &digest)
{
    std::vector<DeclaredObject> objects;
    const bool isRead = readMsgpack(bytes, MaximumConfigurationBytes, [&](MsgpackReader &reader) {
        while (reader.hasMore()) {
            objects.push_back(reader.takeObject());
        }
    });
    if (!isRead) {
        return Error {ErrorCode::DeclarationMalformed, "an encoded configuration is not valid"};
    }
    Result<Pointer> built = tryBuild(objects, version, digest);
    if (isError(built) && errorOf(built).code == ErrorCode::DuplicateObject) {
        return Error {ErrorCode::DeclarationMalformed, errorOf(built).detail};
    }
    return built;
}

Result<Configuration::Pointer> Configuration::tryBuild(
    const std::vector<DeclaredObject> &objects, ConfigurationVersion version, const Digest &digest)
{
    std::set<ObjectName> names;
    ContentEditor editor {Content()};
    for (const DeclaredObject &object : objects) {
        const ObjectName name = nameOf(object);
        if (!names.insert(name).second) {
            return Error {ErrorCode::DuplicateObject, name.toString() + " is contained twice"};
        }
        editor.store(object);
    }
    return editor.tryFinish(version, digest);
}

} // namespace Fuchsiastep
