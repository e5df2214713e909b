#pragma once

#include <LibCore/Clock.h>
#include <LibRequest/AnswerSizes.h>
#include <LibRequest/GateInput.h>

#include <cstddef>
#include <string>

namespace Fuchsiastep {

/// Tells when a large answer will have left the instance. It answers more large answers than the link carries: beside those
/// that wait to leave, it counts the ones that runs in progress are going to produce, so that a request is turned away
/// before it runs rather than answered after its time.
class TransferForecast
{
public:
    /// Shorter answers go past the large ones and are not counted.
    explicit TransferForecast(std::size_t largeBytes) : m_largeBytes(static_cast<double>(largeBytes))
    { }

    void setBacklog(const TransferBacklog &backlog)
    {
        m_backlog = backlog;
    }
    void recordAnswer(const std::string &selector, std::size_t bytes)
    {
        m_sizes.record(selector, bytes);
    }

    /// Bytes that the answer to a request of \a selector puts on the link; 0 for a small one.
    double expectedBytes(const std::string &selector) const;
    /// A request whose answer has this many bytes was accepted.
    void promise(double bytes)
    {
        m_promisedBytes += bytes;
    }
    /// It ended, with its answer handed to the link or without one.
    void release(double bytes)
    {
        m_promisedBytes -= bytes;
    }

    /// Until a further large answer could begin to leave.
    Duration wait() const
    {
        return m_backlog.wait + timeFor(m_promisedBytes);
    }
    /// Until an answer of \a bytes that is ready after \a readyAfter has left.
    Duration timeToLeave(Duration readyAfter, double bytes) const;

private:
    Duration timeFor(double bytes) const;

    double m_largeBytes;
    TransferBacklog m_backlog;
    AnswerSizes m_sizes;
    double m_promisedBytes = 0;
};

} // namespace Fuchsiastep
