#pragma once

#include <LibCore/Digest.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Fuchsiastep {

/// A map from strings to shared immutable values. Copies share their content, and a change copies only the
/// path to the changed entry of a hash trie, so that successive versions cost time and memory in proportion
/// to what differs between them.
template<typename Value>
class PersistentMap
{
public:
    using Item = std::shared_ptr<const Value>;

    std::size_t size() const
    {
        return m_size;
    }
    bool isEmpty() const
    {
        return m_size == 0;
    }

    /// nullptr where there is no such key.
    Item find(std::string_view key) const
    {
        const std::uint64_t hash = stableHash(key);
        const Node *node = m_root.get();
        for (unsigned depth = 0; node != nullptr && !node->children.empty(); ++depth) {
            node = node->children[slot(hash, depth)].get();
        }
        if (node == nullptr) {
            return nullptr;
        }
        const auto found = findEntry(node->entries, key);
        return found == node->entries.end() ? nullptr : found->item;
    }

    /// Adds or replaces.
    void set(std::string_view key, Item item)
    {
        bool isNew = false;
        m_root = withEntry(m_root.get(), 0, {std::string(key), stableHash(key), std::move(item)}, isNew);
        m_size += isNew ? 1 : 0;
    }

    /// Returns false where there is no such key.
    bool remove(std::string_view key)
    {
        if (find(key) == nullptr) {
            return false;
        }
        m_root = withoutEntry(m_root, 0, key, stableHash(key));
        --m_size;
        return true;
    }

    /// Calls \a visit with each key and item, in no particular order.
    template<typename Visit>
    void forEach(const Visit &visit) const
    {
        visitNode(m_root.get(), visit);
    }

    /// Every item, in ascending order of the keys.
    std::vector<Item> sortedItems() const
    {
        std::vector<std::pair<std::string_view, const Item *>> entries;
        entries.reserve(m_size);
        forEach([&](const std::string &key, const Item &item) { entries.emplace_back(key, &item); });
        std::sort(entries.begin(), entries.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
        std::vector<Item> items;
        items.reserve(entries.size());
        for (const auto &entry : entries) {
            items.push_back(*entry.second);
        }
        return items;
    }

    /// Calls \a visit with each key whose item is not the same object in both maps. Shared parts are passed over.
    template<typename Visit>
    void forEachDifference(const PersistentMap &other, const Visit &visit) const
    {
        compareNodes(m_root.get(), other.m_root.get(), visit);
    }

private:
    static constexpr unsigned BitsPerLevel = 4;
    static constexpr std::size_t Branches = std::size_t(1) << BitsPerLevel;
    static constexpr unsigned MaximumDepth = 64 / BitsPerLevel;
    static constexpr std::size_t MaximumLeafEntries = 8;

    struct Entry
    {
        std::string key;
        std::uint64_t hash = 0;
        Item item;
    };
    struct Node;
    using NodePointer = std::shared_ptr<const Node>;
    /// A leaf has entries, a branch has one child pointer for each value of the next hash bits.
    struct Node
    {
        std::vector<Entry> entries;
        std::vector<NodePointer> children;
    };

    static std::size_t slot(std::uint64_t hash, unsigned depth)
    {
        return (hash >> (BitsPerLevel * depth)) & (Branches - 1);
    }

    static auto findEntry(const std::vector<Entry> &entries, std::string_view key)
    {
        return std::find_if(entries.begin(), entries.end(), [&](const Entry &entry) { return entry.key == key; });
    }

    static NodePointer withEntry(const Node *node, unsigned depth, Entry entry, bool &isNew)
    {
        auto copy = node == nullptr ? std::make_shared<Node>() : std::make_shared<Node>(*node);
        if (!copy->children.empty()) {
            NodePointer &child = copy->children[slot(entry.hash, depth)];
            child = withEntry(child.get(), depth + 1, std::move(entry), isNew);
            return copy;
        }
        const auto found = findEntry(copy->entries, entry.key);
        isNew = found == copy->entries.end();
        if (!isNew) {
            copy->entries[static_cast<std::size_t>(found - copy->entries.begin())] = std::move(entry);
            return copy;
        }
        copy->entries.push_back(std::move(entry));
        if (copy->entries.size() > MaximumLeafEntries && depth < MaximumDepth) {
            return split(copy->entries, depth);
        }
        return copy;
    }

    static NodePointer split(std::vector<Entry> &entries, unsigned depth)
    {
        auto branch = std::make_shared<Node>();
        branch->children.resize(Branches);
        for (Entry &entry : entries) {
            NodePointer &child = branch->children[slot(entry.hash, depth)];
            bool isNew = false;
            child = withEntry(child.get(), depth + 1, std::move(entry), isNew);
        }
        return branch;
    }

    static NodePointer withoutEntry(const NodePointer &node, unsigned depth, std::string_view key, std::uint64_t hash)
    {
        auto copy = std::make_shared<Node>(*node);
        if (copy->children.empty()) {
            std::erase_if(copy->entries, [&](const Entry &entry) { return entry.key == key; });
            return copy->entries.empty() ? nullptr : NodePointer(copy);
        }
        NodePointer &child = copy->children[slot(hash, depth)];
        child = withoutEntry(child, depth + 1, key, hash);
        const bool isEmpty = std::all_of(copy->children.begin(), copy->children.end(), [](const auto &other) { return other == nullptr; });
        return isEmpty ? nullptr : NodePointer(copy);
    }

    template<typename Visit>
    static void visitNode(const Node *node, const Visit &visit)
    {
        if (node == nullptr) {
            return;
        }
        for (const Entry &entry : node->entries) {
            visit(entry.key, entry.item);
        }
        for (const NodePointer &child : node->children) {
            visitNode(child.get(), visit);
        }
    }

    template<typename Visit>
    static void compareNodes(const Node *left, const Node *right, const Visit &visit)
    {
        if (left == right) {
            return;
        }
        if (left != nullptr && right != nullptr && !left->children.empty() && !right->children.empty()) {
            for (std::size_t i = 0; i < Branches; ++i) {
                compareNodes(left->children[i].get(), right->children[i].get(), visit);
            }
            return;
        }
        const std::vector<Entry> leftEntries = collect(left);
        const std::vector<Entry> rightEntries = collect(right);
        for (const Entry &entry : leftEntries) {
            const auto found = findEntry(rightEntries, entry.key);
            if (found == rightEntries.end() || found->item != entry.item) {
                visit(entry.key);
            }
        }
        for (const Entry &entry : rightEntries) {
            if (findEntry(leftEntries, entry.key) == leftEntries.end()) {
                visit(entry.key);
            }
        }
    }

    static std::vector<Entry> collect(const Node *node)
    {
        std::vector<Entry> entries;
        visitNode(node, [&](const std::string &key, const Item &item) { entries.push_back({key, 0, item}); });
        return entries;
    }

    NodePointer m_root;
    std::size_t m_size = 0;
};

} // namespace Fuchsiastep
