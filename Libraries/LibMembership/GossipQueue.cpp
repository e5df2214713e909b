#include <LibMembership/GossipQueue.h>

#include <LibCore/Result.h>
#include <LibMembership/CrashSuspectCodec.h>
#include <LibMembership/MembershipTable.h>
#include <LibMembership/ProbeCodec.h>

#include <algorithm>
#include <cmath>

namespace Fuchsiastep {

/// Accusations by different members of the same record stand side by side, so that receivers can count them.
static bool replaces(const MemberUpdate &newer, const MemberUpdate &older)
{
    if (newer.record.proxyId != older.record.proxyId) {
        return false;
    }
    return newer.accuser == older.accuser || supersedes(newer.record, older.record);
}

void GossipQueue::push(MemberUpdate update, std::size_t transmissions)
{
    std::erase_if(m_items, [&](const Item &item) {
        const auto *queued = std::get_if<MemberUpdate>(&item.content);
        return queued != nullptr && replaces(update, *queued);
    });
    add(std::move(update), transmissions);
}

void GossipQueue::push(const CrashSuspectEntry &entry, std::size_t transmissions)
{
    std::erase_if(m_items, [&](const Item &item) {
        const auto *queued = std::get_if<CrashSuspectEntry>(&item.content);
        return queued != nullptr && queued->fingerprint == entry.fingerprint;
    });
    add(entry, transmissions);
}

void GossipQueue::add(Content content, std::size_t transmissions)
{
    const std::size_t bytes = std::visit([](const auto &item) { return encodedSize(item); }, content);
    m_items.push_back({std::move(content), bytes, transmissions});
}

void GossipQueue::fill(ProbeCargo &cargo, std::size_t budget)
{
    for (auto item = m_items.rbegin(); item != m_items.rend(); ++item) {
        if (item->bytes > budget) {
            continue;
        }
        budget -= item->bytes;
        --item->remaining;
        std::visit(Overloaded {
                       [&](const MemberUpdate &update) { cargo.updates.push_back(update); },
                       [&](const CrashSuspectEntry &entry) { cargo.crashSuspects.push_back(entry); },
                   },
            item->content);
    }
    std::erase_if(m_items, [](const Item &item) { return item.remaining == 0; });
}

std::size_t gossipTransmissions(std::size_t members, std::size_t factor)
{
    return static_cast<std::size_t>(std::ceil(static_cast<double>(factor) * std::log2(static_cast<double>(members) + 1)));
}

} // namespace Fuchsiastep
