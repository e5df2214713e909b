#pragma once

#include <LibCore/LibCore.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace Fuchsiastep {

/// A message queue for tests that delays, drops, repeats and reorders from a seed.
template<typename Message>
class SeededQueue
{
public:
    struct Faults
    {
        Duration minimumDelay = std::chrono::milliseconds(1);
        Duration maximumDelay = std::chrono::milliseconds(3);
        double lossProbability = 0;
        double repeatProbability = 0;
    };

    SeededQueue(Clock &clock, Random &random, Faults faults) : m_clock(clock), m_random(random), m_faults(faults)
    { }

    void setFaults(const Faults &faults)
    {
        m_faults = faults;
    }

    /// Sends through the unreliable path.
    void send(Message message)
    {
        if (m_random.chance(m_faults.lossProbability)) {
            return;
        }
        if (m_random.chance(m_faults.repeatProbability)) {
            schedule(message, drawDelay());
        }
        schedule(std::move(message), drawDelay());
    }

    /// Delivers after exactly \a delay, for timers and for paths that lose nothing.
    void schedule(Message message, Duration delay)
    {
        m_entries.push_back({m_clock.now() + delay, m_nextOrder++, std::move(message)});
        std::push_heap(m_entries.begin(), m_entries.end(), isLater);
    }

    std::optional<TimePoint> nextDue() const
    {
        return m_entries.empty() ? std::nullopt : std::optional(m_entries.front().due);
    }

    /// Advances the clock to the next message and returns it; nothing where the queue is empty or the
    /// next message is due after \a limit.
    std::optional<Message> next(TimePoint limit)
    {
        if (m_entries.empty() || m_entries.front().due > limit) {
            return std::nullopt;
        }
        std::pop_heap(m_entries.begin(), m_entries.end(), isLater);
        Entry entry = std::move(m_entries.back());
        m_entries.pop_back();
        if (entry.due > m_clock.now()) {
            m_clock.advance(entry.due - m_clock.now());
        }
        return std::move(entry.message);
    }

private:
    struct Entry
    {
        TimePoint due;
        std::uint64_t order;
        Message message;
    };

    static bool isLater(const Entry &left, const Entry &right)
    {
        return left.due != right.due ? left.due > right.due : left.order > right.order;
    }

    Duration drawDelay()
    {
        return m_faults.minimumDelay + m_random.jitter(m_faults.maximumDelay - m_faults.minimumDelay);
    }

    Clock &m_clock;
    Random &m_random;
    Faults m_faults;
    std::uint64_t m_nextOrder = 0;
    std::vector<Entry> m_entries;
};

} // namespace Fuchsiastep
