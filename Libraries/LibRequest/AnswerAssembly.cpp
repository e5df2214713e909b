#include <LibRequest/AnswerAssembly.h>

#include <LibWire/HttpStatus.h>

#include <utility>

namespace Fuchsiastep {

AnswerAssembly::State AnswerAssembly::add(AnswerFrame frame)
{
    if (m_header) {
        ++m_duplicates;
        return state();
    }
    std::string body = std::exchange(frame.body, {});
    m_header = std::move(frame);
    const bool isNoAnswer = m_header->outcome == RequestOutcome::Answered && !isFinalStatus(m_header->status);
    if (isNoAnswer || m_header->bodyLength > m_maximumBytes) {
        m_isBroken = true;
        return state();
    }
    if (!body.empty()) {
        addPart(0, std::move(body));
    }
    return state();
}

AnswerAssembly::State AnswerAssembly::add(AnswerPartFrame frame)
{
    const std::uint64_t end = frame.offset + frame.body.size();
    if (end < frame.offset || end > m_maximumBytes) {
        m_isBroken = true;
        return state();
    }
    if (frame.isLast) {
        m_lastEnd = end;
    }
    addPart(frame.offset, std::move(frame.body));
    return state();
}

AnswerAssembly::State AnswerAssembly::state() const
{
    if (m_isBroken) {
        return State::Broken;
    }
    if (!m_header) {
        return State::Incomplete;
    }
    const std::uint64_t reached = m_parts.empty() ? 0 : m_parts.rbegin()->first + m_parts.rbegin()->second.size();
    if (reached > m_header->bodyLength || (m_lastEnd && *m_lastEnd != m_header->bodyLength)) {
        return State::Broken;
    }
    // Parts never overlap, so the count of bytes alone shows that nothing is missing.
    return m_bytes == m_header->bodyLength ? State::Complete : State::Incomplete;
}

bool AnswerAssembly::hasHeader() const
{
    return m_header.has_value();
}

std::uint64_t AnswerAssembly::bytes() const
{
    return m_bytes;
}

std::uint64_t AnswerAssembly::duplicates() const
{
    return m_duplicates;
}

AnswerFrame AnswerAssembly::take()
{
    AnswerFrame answer = std::move(*m_header);
    if (m_parts.size() == 1) {
        answer.body = std::move(m_parts.begin()->second);
        return answer;
    }
    answer.body.reserve(m_bytes);
    while (!m_parts.empty()) {
        answer.body += m_parts.begin()->second;
        m_parts.erase(m_parts.begin());
    }
    return answer;
}

void AnswerAssembly::addPart(std::uint64_t offset, std::string body)
{
    if (body.empty()) {
        return;
    }
    const auto known = m_parts.find(offset);
    if (known != m_parts.end() && known->second == body) {
        ++m_duplicates;
        return;
    }
    if (overlaps(offset, body.size()) || m_bytes + body.size() > m_maximumBytes) {
        m_isBroken = true;
        return;
    }
    m_bytes += body.size();
    m_parts.emplace(offset, std::move(body));
}

bool AnswerAssembly::overlaps(std::uint64_t offset, std::uint64_t length) const
{
    const auto next = m_parts.lower_bound(offset);
    if (next != m_parts.end() && next->first < offset + length) {
        return true;
    }
    if (next == m_parts.begin()) {
        return false;
    }
    const auto previous = std::prev(next);
    return previous->first + previous->second.size() > offset;
}

} // namespace Fuchsiastep
