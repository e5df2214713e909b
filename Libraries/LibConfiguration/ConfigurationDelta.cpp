#include <LibConfiguration/ConfigurationDelta.h>

#include <LibConfiguration/MsgpackReader.h>
#include <LibConfiguration/MsgpackWriter.h>

#include <map>
#include <optional>
#include <set>

namespace Fuchsiastep {

// Above the longest frame, because deltas also arrive from the platform's rows.
static constexpr std::size_t MaximumDeltaBytes = 16 * 1024 * 1024;

ConfigurationDelta ConfigurationDelta::onTopOf(
    const Configuration &base, std::vector<DeclaredObject> stored, std::vector<ObjectName> removed)
{
    ConfigurationDelta delta;
    delta.baseVersion = base.version();
    delta.targetVersion = base.version() + 1;
    delta.baseDigest = base.digest();
    delta.targetDigest = base.digest();
    const auto subtractCurrent = [&](const ObjectName &name) {
        if (const auto current = base.object(name)) {
            delta.targetDigest -= digestOf(*current);
        }
    };
    for (const DeclaredObject &object : stored) {
        subtractCurrent(nameOf(object));
        delta.targetDigest += digestOf(object);
    }
    for (const ObjectName &name : removed) {
        subtractCurrent(name);
    }
    delta.stored = std::move(stored);
    delta.removed = std::move(removed);
    return delta;
}

ConfigurationDelta ConfigurationDelta::between(const Configuration &base, std::vector<DeclaredObject> objects, ConfigurationVersion version)
{
    std::vector<DeclaredObject> stored;
    std::set<ObjectName> kept;
    for (DeclaredObject &object : objects) {
        const ObjectName name = nameOf(object);
        kept.insert(name);
        if (base.object(name) != object) {
            stored.push_back(std::move(object));
        }
    }
    std::vector<ObjectName> removed;
    base.forEachObject([&](const DeclaredObject &object) {
        if (!kept.contains(nameOf(object))) {
            removed.push_back(nameOf(object));
        }
    });
    ConfigurationDelta delta = onTopOf(base, std::move(stored), std::move(removed));
    delta.targetVersion = version;
    return delta;
}

std::string ConfigurationDelta::encode() const
{
    MsgpackWriter writer;
    writer.beginArray(6);
    writer.put(baseVersion);
    writer.put(targetVersion);
    writer.put(baseDigest);
    writer.put(targetDigest);
    writer.beginArray(stored.size());
    for (const DeclaredObject &object : stored) {
        writer.put(object);
    }
    writer.beginArray(removed.size());
    for (const ObjectName &name : removed) {
        writer.put(name);
    }
    return writer.take();
}

/// True where an object is stored or removed more than once.
static bool hasRepeatedName(const ConfigurationDelta &delta)
{
    std::set<ObjectName> names(delta.removed.begin(), delta.removed.end());
    for (const DeclaredObject &object : delta.stored) {
        names.insert(nameOf(object));
    }
    return names.size() != delta.removed.size() + delta.stored.size();
}

Result<ConfigurationDelta> ConfigurationDelta::tryDecode(std::string_view bytes)
{
    ConfigurationDelta delta;
    const bool isRead = readMsgpack(bytes, MaximumDeltaBytes, [&](MsgpackReader &reader) {
        delta.baseVersion = reader.takeUnsigned();
        delta.targetVersion = reader.takeUnsigned();
        delta.baseDigest = reader.takeDigest();
        delta.targetDigest = reader.takeDigest();
        reader.takeArray([&](MsgpackReader &inner) { delta.stored.push_back(inner.takeObject()); });
        reader.takeArray([&](MsgpackReader &inner) { delta.removed.push_back(inner.takeObjectName()); });
    });
    if (!isRead) {
        return Error {ErrorCode::DeclarationMalformed, "an encoded delta is not valid"};
    }
    if (hasRepeatedName(delta)) {
        return Error {ErrorCode::DeclarationMalformed, "a delta names an object more than once"};
    }
    return delta;
}

Result<ConfigurationDelta> ConfigurationDelta::tryMerge(const ConfigurationDelta &next) const
{
    return tryMergeChain({this, &next});
}

Result<ConfigurationDelta> ConfigurationDelta::tryMergeChain(const std::vector<const ConfigurationDelta *> &chain)
{
    // The last effect on each object; nullptr where it is removed.
    std::map<ObjectName, const DeclaredObject *> effects;
    const ConfigurationDelta *previous = nullptr;
    for (const ConfigurationDelta *delta : chain) {
        if (previous != nullptr && (delta->baseVersion != previous->targetVersion || delta->baseDigest != previous->targetDigest)) {
            return Error {ErrorCode::BaseMismatch,
                "a delta from version " + std::to_string(delta->baseVersion) + " cannot follow version "
                    + std::to_string(previous->targetVersion)};
        }
        for (const ObjectName &name : delta->removed) {
            effects[name] = nullptr;
        }
        for (const DeclaredObject &object : delta->stored) {
            effects[nameOf(object)] = &object;
        }
        previous = delta;
    }
    ConfigurationDelta merged;
    if (previous == nullptr) {
        return Error {ErrorCode::BaseMismatch, "no delta to merge"};
    }
    merged.baseVersion = chain.front()->baseVersion;
    merged.baseDigest = chain.front()->baseDigest;
    merged.targetVersion = previous->targetVersion;
    merged.targetDigest = previous->targetDigest;
    for (const auto &[name, object] : effects) {
        if (object != nullptr) {
            merged.stored.push_back(*object);
        } else {
            merged.removed.push_back(name);
        }
    }
    return merged;
}

} // namespace Fuchsiastep
