#pragma once

#include <LibCore/Clock.h>
#include <LibRequest/TransferRate.h>
#include <LibWire/AnswerPartAckFrame.h>
#include <LibWire/AnswerPartFrame.h>

#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace Fuchsiastep {

/// Send the part on this connection.
struct SendPart
{
    std::uint64_t connectionId = 0;
    AnswerPartFrame frame;
};

/// Paces the parts of large answers that leave the instance. A slow link answers everything late once it is full of large
/// answers, also the small ones behind them. So only a few parts are on their way at a time, small answers go past those
/// that wait, and the answer with the least left goes first, which lets most answers arrive early. The wait that results
/// is known, so that further large answers can be turned away or placed elsewhere.
class AnswerTransfers
{
public:
    struct Settings
    {
        /// Bytes that may be on their way without acknowledgement while the rate of the link is not known: what a link of
        /// 250 Mbit/s holds over 2 ms.
        std::uint64_t initialWindowBytes = 64ULL * 1024;
        /// Two parts, so that the link does not idle while one is acknowledged.
        std::uint64_t smallestWindowBytes = 16ULL * 1024;
        std::uint64_t largestWindowBytes = 512ULL * 1024;
        /// What the instance's link carries; 0 where it is not known.
        double linkBytesPerSecond = 0;
        /// Parts on their way may hold up a small answer for this long.
        Duration longestQueue = std::chrono::milliseconds(20);
    };

    AnswerTransfers(const Settings &settings, const Clock &clock);

    /// Takes the parts of an answer in their order.
    std::vector<SendPart> start(std::uint64_t connectionId, std::vector<AnswerPartFrame> parts);
    std::vector<SendPart> acknowledge(std::uint64_t connectionId, const AnswerPartAckFrame &ack);
    /// Nobody waits for the rest of the answer.
    std::vector<SendPart> cancel(std::uint64_t connectionId, std::uint64_t requestId);
    std::vector<SendPart> closeConnection(std::uint64_t connectionId);

    bool isIdle() const
    {
        return m_transfers.empty();
    }
    /// Bytes of answers that are kept here until they may leave.
    std::uint64_t bytesWaiting() const
    {
        return m_bytesWaiting;
    }
    /// Time until a further answer could begin to leave; 0 while the link was never full.
    Duration backlog() const;
    /// Time that this many bytes take; 0 while the link was never full.
    Duration timeFor(double bytes) const;

private:
    using Key = std::pair<std::uint64_t, std::uint64_t>;
    struct Transfer
    {
        std::deque<AnswerPartFrame> parts;
        std::uint64_t bytesLeft = 0;
        /// Ends and sizes of the parts on their way.
        std::deque<std::pair<std::uint64_t, std::uint64_t>> onTheWay;
    };

    void drop(std::map<Key, Transfer>::iterator transfer);
    std::vector<SendPart> sendMore();
    std::uint64_t windowBytes() const;

    Settings m_settings;
    TransferRate m_rate;
    std::map<Key, Transfer> m_transfers;
    std::uint64_t m_bytesWaiting = 0;
    std::uint64_t m_bytesOnTheWay = 0;
};

} // namespace Fuchsiastep
