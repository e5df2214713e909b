#include <LibFleet/FleetExchange.h>

#include <LibCore/Result.h>
#include <LibMembership/RendezvousHash.h>

#include <algorithm>
#include <utility>

namespace Fuchsiastep {

/// Members that take over in order, where those before them do not answer.
static constexpr std::size_t MaximumCandidates = 4;

FleetExchange::FleetExchange(FleetExchangeSettings settings, const MembershipTable &table, const Clock &clock)
    : m_settings(settings), m_table(table), m_clock(clock), m_nextCheck(clock.now())
{ }

void FleetExchange::addTopic(FleetTopicHandlers handlers)
{
    m_topics.push_back(std::move(handlers));
}

std::vector<FleetExchangeOutput> FleetExchange::handle(const FleetExchangeInput &input)
{
    std::visit([this](const auto &message) { accept(message); }, input);
    return std::exchange(m_outputs, {});
}

std::vector<FleetExchangeOutput> FleetExchange::advance()
{
    if (!isAnyTopicInUse()) {
        m_links.clear();
        m_nextCheck = m_clock.now() + m_settings.reportPeriod;
        return {};
    }
    std::erase_if(m_passedOver, [now = m_clock.now()](const auto &entry) { return entry.second <= now; });
    const std::string &ownDataCentre = m_table.self().dataCentre;
    update(ownDataCentre, m_links[ownDataCentre]);
    const bool isActing = isCoordinator();
    std::erase_if(m_links, [&](const auto &entry) { return !isActing && !isOwn(entry.first); });
    if (isActing) {
        for (const std::string &dataCentre : m_table.dataCentres()) {
            if (!isOwn(dataCentre)) {
                update(dataCentre, m_links[dataCentre]);
            }
        }
    }
    return std::exchange(m_outputs, {});
}

std::optional<TimePoint> FleetExchange::nextDeadline() const
{
    if (m_topics.empty()) {
        return std::nullopt;
    }
    if (m_links.empty()) {
        return m_nextCheck;
    }
    TimePoint next = TimePoint::max();
    for (const auto &[dataCentre, link] : m_links) {
        next = std::min(next, link.nextReport);
        if (link.unansweredSince) {
            next = std::min(next, *link.unansweredSince + m_settings.replyTimeout);
        }
    }
    return next;
}

bool FleetExchange::isCoordinator() const
{
    return coordinatorOf(m_table.self().dataCentre) == m_table.self().proxyId;
}

void FleetExchange::accept(const PeerFrame &frame)
{
    if (const auto *report = std::get_if<FleetReportFrame>(&frame.frame)) {
        acceptReport(frame.peer, *report);
    } else if (const auto *reply = std::get_if<FleetReplyFrame>(&frame.frame)) {
        acceptReply(frame.peer, *reply);
    }
}

void FleetExchange::accept(const FleetReportWanted &)
{
    const auto link = m_links.find(m_table.self().dataCentre);
    if (link != m_links.end()) {
        link->second.nextReport = std::min(link->second.nextReport, link->second.lastReport + m_settings.shortestPeriod);
    }
}

void FleetExchange::acceptReport(const std::string &peer, const FleetReportFrame &frame)
{
    const Result<std::vector<FleetSection>> sections = tryDecodeFleetSections(frame.sections);
    if (isError(sections)) {
        m_outputs.emplace_back(FleetFrameRejected {peer, errorOf(sections)});
        return;
    }
    const MemberRecord *sender = m_table.find(peer);
    const std::string dataCentre = sender != nullptr ? sender->dataCentre : std::string();
    std::vector<FleetSection> answers;
    for (const FleetTopicHandlers &handlers : m_topics) {
        const auto section = std::find_if(
            valueOf(sections).begin(), valueOf(sections).end(), [&](const FleetSection &entry) { return entry.topic == handlers.topic; });
        const std::string_view content = section == valueOf(sections).end() ? std::string_view() : std::string_view(section->content);
        std::string answer;
        if (frame.isBetweenDataCentres && handlers.answerDataCentre) {
            answer = handlers.answerDataCentre(dataCentre, content);
        } else if (!frame.isBetweenDataCentres && handlers.answer) {
            answer = handlers.answer(peer, content);
        }
        if (!answer.empty()) {
            answers.push_back({handlers.topic, std::move(answer)});
        }
    }
    m_outputs.emplace_back(SendFrame {peer, FleetReplyFrame {frame.sequence, encodeFleetSections(answers)}});
}

void FleetExchange::acceptReply(const std::string &peer, const FleetReplyFrame &frame)
{
    const auto found = std::find_if(m_links.begin(), m_links.end(), [&](const auto &entry) {
        return entry.second.unansweredSince && entry.second.sequence == frame.sequence && entry.second.peer == peer;
    });
    // A late reply to an earlier report has nothing that the next one will not have.
    if (found == m_links.end()) {
        return;
    }
    found->second.unansweredSince.reset();
    const Result<std::vector<FleetSection>> sections = tryDecodeFleetSections(frame.sections);
    if (isError(sections)) {
        m_outputs.emplace_back(FleetFrameRejected {peer, errorOf(sections)});
        return;
    }
    const FleetReportTime reported {found->second.sentAtMs};
    for (const FleetSection &section : valueOf(sections)) {
        for (const FleetTopicHandlers &handlers : m_topics) {
            if (handlers.topic != section.topic) {
                continue;
            }
            if (!isOwn(found->first) && handlers.acceptDataCentreReply) {
                handlers.acceptDataCentreReply(found->first, reported, section.content);
            } else if (isOwn(found->first) && handlers.acceptReply) {
                handlers.acceptReply(reported, section.content);
            }
        }
    }
}

bool FleetExchange::isAnyTopicInUse() const
{
    return std::any_of(
        m_topics.begin(), m_topics.end(), [](const FleetTopicHandlers &handlers) { return handlers.isInUse && handlers.isInUse(); });
}

std::string FleetExchange::coordinatorOf(const std::string &dataCentre) const
{
    const auto candidates = rendezvousMembers(m_table, dataCentre, CoordinatorRoleName, MaximumCandidates);
    const auto chosen = std::find_if(
        candidates.begin(), candidates.end(), [this](const MemberRecord *member) { return !m_passedOver.contains(member->proxyId); });
    return chosen == candidates.end() ? std::string() : (*chosen)->proxyId;
}

void FleetExchange::update(const std::string &dataCentre, Link &link)
{
    const TimePoint now = m_clock.now();
    if (link.unansweredSince && now - *link.unansweredSince >= m_settings.replyTimeout) {
        passOver(link);
    }
    if (link.nextReport <= now) {
        report(dataCentre, link);
    }
}

void FleetExchange::passOver(Link &link)
{
    m_passedOver[link.peer] = m_clock.now() + m_settings.passOverTime;
    link.unansweredSince.reset();
    link.nextReport = m_clock.now();
}

void FleetExchange::report(const std::string &dataCentre, Link &link)
{
    const TimePoint now = m_clock.now();
    link.nextReport = now + m_settings.reportPeriod;
    link.lastReport = now;
    const std::string peer = coordinatorOf(dataCentre);
    if (peer.empty()) {
        return;
    }
    if (peer == m_table.self().proxyId) {
        link.unansweredSince.reset();
        reportToItself();
        return;
    }
    // A further report to a coordinator that still owes an answer does not give it more time.
    if (!link.unansweredSince || link.peer != peer) {
        link.unansweredSince = now;
    }
    link.peer = peer;
    link.sequence = m_nextSequence++;
    link.sentAtMs = m_clock.uninterruptedMilliseconds();
    m_outputs.emplace_back(SendFrame {peer, FleetReportFrame {link.sequence, !isOwn(dataCentre), sectionsFor(dataCentre)}});
}

void FleetExchange::reportToItself()
{
    const FleetReportTime reported {m_clock.uninterruptedMilliseconds()};
    for (const FleetTopicHandlers &handlers : m_topics) {
        if (!handlers.answer) {
            continue;
        }
        const std::string answer = handlers.answer(m_table.self().proxyId, handlers.report ? handlers.report() : std::string());
        if (!answer.empty() && handlers.acceptReply) {
            handlers.acceptReply(reported, answer);
        }
    }
}

std::string FleetExchange::sectionsFor(const std::string &dataCentre) const
{
    std::vector<FleetSection> sections;
    for (const FleetTopicHandlers &handlers : m_topics) {
        std::string content;
        if (isOwn(dataCentre) && handlers.report) {
            content = handlers.report();
        } else if (!isOwn(dataCentre) && handlers.reportToDataCentre) {
            content = handlers.reportToDataCentre(dataCentre);
        }
        if (!content.empty()) {
            sections.push_back({handlers.topic, std::move(content)});
        }
    }
    return encodeFleetSections(sections);
}

bool FleetExchange::isOwn(const std::string &dataCentre) const
{
    return dataCentre == m_table.self().dataCentre;
}

} // namespace Fuchsiastep
