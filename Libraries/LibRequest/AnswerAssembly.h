#pragma once

#include <LibWire/AnswerFrame.h>
#include <LibWire/AnswerPartFrame.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Fuchsiastep {

/// Puts an answer together from its frames, which may arrive in any order. The result is the whole answer or
/// an error, never a part of it.
class AnswerAssembly
{
public:
    enum class State {
        Incomplete,
        Complete,
        /// The frames contradict each other or the limit is exceeded.
        Broken,
    };

    /// \a maximumBytes: longest body accepted.
    explicit AnswerAssembly(std::uint64_t maximumBytes) : m_maximumBytes(maximumBytes)
    { }

    State add(AnswerFrame frame);
    State add(AnswerPartFrame frame);
    State state() const;

    bool hasHeader() const;
    std::uint64_t bytes() const;
    std::uint64_t duplicates() const;
    /// The whole answer; the state is Complete.
    AnswerFrame take();

private:
    void addPart(std::uint64_t offset, std::string body);
    bool overlaps(std::uint64_t offset, std::uint64_t length) const;

    std::uint64_t m_maximumBytes;
    std::optional<AnswerFrame> m_header;
    std::map<std::uint64_t, std::string> m_parts;
    std::optional<std::uint64_t> m_lastEnd;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_duplicates = 0;
    bool m_isBroken = false;
};

} // namespace Fuchsiastep
