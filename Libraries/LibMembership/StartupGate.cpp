#include <LibMembership/StartupGate.h>

#include <LibCore/Result.h>
#include <LibMembership/RendezvousHash.h>
#include <LibMembership/VersionQuery.h>

#include <algorithm>
#include <utility>

namespace Fuchsiastep {

StartupGate::StartupGate(StartupGateSettings settings, const MembershipTable &table, const Clock &clock, Random &random)
    : m_settings(settings), m_table(table), m_clock(clock), m_random(random), m_nextAsk(clock.now())
{ }

std::vector<StartupGateOutput> StartupGate::handle(const StartupGateInput &input)
{
    std::visit([this](const auto &message) { accept(message); }, input);
    return std::exchange(m_outputs, {});
}

std::vector<StartupGateOutput> StartupGate::advance()
{
    if (m_isOpen) {
        return {};
    }
    const TimePoint now = m_clock.now();
    if (m_required && now >= m_obtainBy) {
        m_unobtainable = *m_required;
        m_required.reset();
        m_nextAsk = now;
    }
    if (m_roundEnd && now >= *m_roundEnd) {
        finishRound();
    }
    if (!m_required && now >= m_nextAsk) {
        m_nextAsk = now + m_settings.askPeriod;
        if (!m_roundEnd) {
            beginRound();
        }
        askPeers();
    }
    settleOnHead();
    return std::exchange(m_outputs, {});
}

std::optional<TimePoint> StartupGate::nextDeadline() const
{
    if (m_isOpen) {
        return std::nullopt;
    }
    if (m_required) {
        return m_obtainBy;
    }
    TimePoint next = m_roundEnd ? std::min(m_nextAsk, *m_roundEnd) : m_nextAsk;
    if (m_head && m_peersDue) {
        next = std::min(next, *m_peersDue);
    }
    return next;
}

void StartupGate::accept(const HeadRead &head)
{
    const bool isUsable = head.version && (*head.version > m_unobtainable || *head.version == 0);
    if (!m_isOpen && !m_required && isUsable) {
        m_head = std::max(m_head.value_or(0), *head.version);
        settleOnHead();
    }
}

void StartupGate::accept(const PeerFrame &frame)
{
    const auto *ack = std::get_if<ConfigurationAckFrame>(&frame.frame);
    if (ack == nullptr || !m_asked.contains(frame.peer)) {
        return;
    }
    // An acknowledgement of a push that is not held names a version that the peer does not have.
    if (ack->isHeld || ack->version == 0) {
        ConfigurationVersion &version = m_answers[frame.peer];
        version = std::max(version, ack->version);
        settleOnHead();
    }
}

void StartupGate::accept(const HeldVersion &held)
{
    m_held = std::max(m_held, held.version);
    openIfCurrent();
}

void StartupGate::accept(const ProcessResumed &)
{
    if (m_isOpen) {
        m_outputs.emplace_back(GateClosed {});
    }
    m_isOpen = false;
    m_isResumed = true;
    m_head.reset();
    m_required.reset();
    m_roundEnd.reset();
    m_nextAsk = m_clock.now();
}

void StartupGate::accept(const JoinEnded &)
{
    m_hasJoined = true;
    m_peersDue = m_clock.now() + m_settings.peerTime;
    m_nextAsk = m_clock.now();
}

void StartupGate::accept(const PlatformRestored &)
{
    if (m_isOpen) {
        return;
    }
    // A head of the earlier era may be lost, and the one that could not be obtained may be another version now.
    m_head.reset();
    m_unobtainable = 0;
    m_required.reset();
    m_roundEnd.reset();
    m_nextAsk = m_clock.now();
}

void StartupGate::beginRound()
{
    m_head.reset();
    if (m_hasJoined) {
        m_peersDue = m_clock.now() + m_settings.peerTime;
    }
    m_roundEnd = m_clock.now() + m_settings.roundTime;
    m_asked.clear();
    m_answers.clear();
    m_outputs.emplace_back(ReadHead {});
}

void StartupGate::askPeers()
{
    const MemberRecord &self = m_table.self();
    // The list is read again with each question, because a joining proxy may learn of its peers after the first.
    for (const MemberRecord *reader : rendezvousMembers(m_table, self.dataCentre, ReaderRoleName, m_settings.readersAsked + 1)) {
        m_asked.insert(reader->proxyId);
    }
    auto others = m_table.livePeers();
    while (!others.empty() && m_asked.size() < m_settings.readersAsked + m_settings.othersAsked) {
        const std::size_t chosen = m_random.below(others.size());
        m_asked.insert(others[chosen]->proxyId);
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    m_asked.erase(self.proxyId);
    for (const std::string &id : m_asked) {
        if (!m_answers.contains(id)) {
            m_outputs.emplace_back(SendFrame {id, versionQuery()});
        }
    }
}

void StartupGate::finishRound()
{
    m_roundEnd.reset();
    std::erase_if(m_asked, [this](const std::string &id) {
        const MemberRecord *record = m_table.find(id);
        return record == nullptr || !memberStateInfo(record->state).isLive;
    });
    if (m_head || hasMajority()) {
        settle(std::max(m_head.value_or(0), highestAnswer()));
    } else if (m_isResumed && m_held > 0) {
        settle(std::max(m_held, highestAnswer()));
    }
}

bool StartupGate::haveAllAnswered() const
{
    const auto isHeard = [this](const std::string &id) {
        const MemberRecord *record = m_table.find(id);
        return m_answers.contains(id) || record == nullptr || !memberStateInfo(record->state).isLive;
    };
    return m_hasJoined && std::all_of(m_asked.begin(), m_asked.end(), isHeard);
}

void StartupGate::settleOnHead()
{
    if (m_isOpen || m_required || !m_head || !m_roundEnd) {
        return;
    }
    const bool isDue = m_peersDue && m_clock.now() >= *m_peersDue;
    // Without a member to ask, the question has to be asked again once the members are known.
    if (isDue || (haveAllAnswered() && m_nextAsk > m_clock.now())) {
        settle(std::max(*m_head, highestAnswer()));
    }
}

bool StartupGate::hasMajority() const
{
    // A peer that holds nothing has just started as well; it neither knows the newest version nor held it before.
    const auto knowing =
        static_cast<std::size_t>(std::count_if(m_answers.begin(), m_answers.end(), [](const auto &answer) { return answer.second > 0; }));
    const std::size_t unknowing = m_answers.size() - knowing;
    return knowing * 2 + unknowing > m_asked.size();
}

ConfigurationVersion StartupGate::highestAnswer() const
{
    ConfigurationVersion highest = 0;
    for (const auto &[id, version] : m_answers) {
        highest = std::max(highest, version);
    }
    return highest;
}

void StartupGate::settle(ConfigurationVersion version)
{
    m_required = version;
    m_obtainBy = m_clock.now() + m_settings.obtainTimeout;
    m_roundEnd.reset();
    openIfCurrent();
}

void StartupGate::openIfCurrent()
{
    if (m_isOpen || !m_required || m_held < *m_required) {
        return;
    }
    m_isOpen = true;
    m_outputs.emplace_back(GateOpened {m_held, m_head, highestAnswer(), m_answers.size()});
}

} // namespace Fuchsiastep
