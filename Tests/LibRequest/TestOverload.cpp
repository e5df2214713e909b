#include <LibRequest/LibRequest.h>
#include <Support/SeededQueue.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <functional>

namespace Fuchsiastep {

/// What one gate accepts and refuses while more arrives than the upstream or the link carries.
class TestOverload : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOverload);
    CPPUNIT_TEST(testAcceptedRunsKeepTheirTarget);
    CPPUNIT_TEST(testTightTargetFindsAPlace);
    CPPUNIT_TEST(testLargeAnswersKeepTheirTarget);
    CPPUNIT_TEST(testTransitDelay);
    CPPUNIT_TEST(testTransitDelayOnANewConnection);
    CPPUNIT_TEST(testHeldUpRequestIsNotRun);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t Slots = 6;
    static constexpr Duration Length = std::chrono::seconds(20);

    struct Load
    {
        Duration target {0};
        Duration meanRun {0};
        double requestsPerSecond = 0;
        std::size_t answerBytes = 0;
        double linkBytesPerSecond = 0;
    };
    struct Result
    {
        std::size_t answered = 0;
        std::size_t inTarget = 0;
    };

    static PeerRequest request(std::uint64_t id, Duration target)
    {
        PeerRequest result;
        result.connectionId = 7;
        result.frame.requestId = id;
        result.frame.service = "desk";
        result.frame.upstreamId = "u";
        result.frame.selector = "all";
        result.frame.method = "GET";
        result.frame.path = "/" + std::to_string(id);
        result.frame.isRepeatable = true;
        result.frame.timeLeftMs = 2 * static_cast<std::uint32_t>(target.count() / 1000);
        result.frame.targetLeftMs = static_cast<std::uint32_t>(target.count() / 1000);
        return result;
    }

    /// One gate with its upstream and its link under \a load.
    class Replay
    {
    public:
        Replay(const Load &load, std::uint64_t seed)
            : m_load(load)
            , m_random(seed)
            , m_queue(m_clock, m_random, {})
            , m_transfers({.linkBytesPerSecond = load.linkBytesPerSecond}, m_clock)
        {
            UpstreamGate::Settings settings;
            settings.queuePlacesPerSlot = 8;
            settings.maximumQueueTime = std::chrono::seconds(2);
            m_gate.emplace(settings, m_suspects, m_clock);
            m_gate->handle(UpstreamAnnounced {"u", "desk", Slots, 100, true});
        }

        Result run()
        {
            const TimePoint end = m_clock.now() + Length;
            arrive();
            while (const auto event = m_queue.next(end)) {
                (*event)();
            }
            return m_result;
        }

    private:
        void arrive()
        {
            m_arrivedAt.push_back(m_clock.now());
            m_gate->handle(TransferBacklog {m_transfers.backlog(), m_transfers.timeFor(1e6)});
            apply(m_gate->handle(request(m_arrivedAt.size() - 1, m_load.target)));
            const double gap = -std::log(1 - m_random.unit()) * 1e6 / m_load.requestsPerSecond;
            m_queue.schedule([this] { arrive(); }, Duration(static_cast<Duration::rep>(gap)));
        }
        /// Half of the runs are short, and some take a multiple of the mean.
        Duration drawRun()
        {
            return scaled(m_load.meanRun, 0.25 - 0.75 * std::log(1 - m_random.unit()));
        }
        void apply(const std::vector<GateOutput> &outputs)
        {
            for (const GateOutput &output : outputs) {
                if (const auto *start = std::get_if<StartUpstreamRequest>(&output)) {
                    m_queue.schedule(
                        [this, localId = start->localId] {
                            m_gate->handle(TransferBacklog {m_transfers.backlog(), m_transfers.timeFor(1e6)});
                            apply(m_gate->handle(UpstreamAnswer {localId, 200, {}, std::string(m_load.answerBytes, 'x'), false}));
                        },
                        drawRun());
                } else if (const auto *answer = std::get_if<SendAnswer>(&output)) {
                    take(*answer);
                }
            }
            if (const auto next = m_gate->nextDeadline()) {
                m_queue.schedule([this] { apply(m_gate->advance()); }, std::max(Duration(0), *next - m_clock.now()));
            }
        }
        void take(const SendAnswer &answer)
        {
            if (answer.frame.outcome != RequestOutcome::Answered) {
                return;
            }
            if (answer.parts.empty()) {
                finish(answer.frame.requestId);
                return;
            }
            send(m_transfers.start(answer.connectionId, answer.parts));
        }
        /// The link carries the parts in their order.
        void send(const std::vector<SendPart> &parts)
        {
            for (const SendPart &part : parts) {
                m_linkFreeAt = std::max(m_linkFreeAt, m_clock.now())
                    + Duration(static_cast<Duration::rep>(static_cast<double>(part.frame.body.size()) / m_load.linkBytesPerSecond * 1e6));
                m_queue.schedule(
                    [this, part] {
                        if (part.frame.isLast) {
                            finish(part.frame.requestId);
                        }
                        const std::uint64_t partEnd = part.frame.offset + part.frame.body.size();
                        send(m_transfers.acknowledge(part.connectionId, {part.frame.requestId, partEnd}));
                    },
                    m_linkFreeAt - m_clock.now());
            }
        }
        void finish(std::uint64_t requestId)
        {
            ++m_result.answered;
            m_result.inTarget += m_clock.now() - m_arrivedAt[requestId] <= m_load.target ? 1 : 0;
        }

        Load m_load;
        Clock m_clock = Clock::manual();
        Random m_random;
        SeededQueue<std::function<void()>> m_queue;
        CrashSuspects m_suspects {{}, m_clock};
        std::optional<UpstreamGate> m_gate;
        AnswerTransfers m_transfers;
        TimePoint m_linkFreeAt;
        std::vector<TimePoint> m_arrivedAt;
        Result m_result;
    };

    static std::string labelOf(std::uint64_t seed, const Result &result, double capacity)
    {
        return "seed " + std::to_string(seed) + ": " + std::to_string(result.inTarget) + " of " + std::to_string(result.answered)
            + " in target, capacity " + std::to_string(capacity);
    }

    // Guards against a queue that is as long as the mean run allows, from which every slower run ends late: lookups of
    // 220 ms with a target of 800 ms, a burst of 1.7 on top of four fifths of the slots.
    void testAcceptedRunsKeepTheirTarget()
    {
        for (std::uint64_t seed = 0; seed < 10; ++seed) {
            Load load {std::chrono::milliseconds(800), std::chrono::milliseconds(220), 0};
            const double capacity = Slots / std::chrono::duration<double>(load.meanRun).count();
            load.requestsPerSecond = 0.8 * 1.7 * capacity;
            const Result result = Replay(load, seed).run();
            const double carried = capacity * std::chrono::duration<double>(Length).count();
            const std::string label = labelOf(seed, result, carried);
            CPPUNIT_ASSERT_MESSAGE(label, static_cast<double>(result.answered) > 0.85 * carried);
            CPPUNIT_ASSERT_MESSAGE(label, static_cast<double>(result.inTarget) > 0.85 * static_cast<double>(result.answered));
        }
    }

    // Guards against a kind of request that is refused whenever it would have to wait, because a slow run of it takes nearly
    // its whole target: queries of 107 ms on a slow upstream with a target of 200 ms, 1.2 times the capacity.
    void testTightTargetFindsAPlace()
    {
        for (std::uint64_t seed = 0; seed < 10; ++seed) {
            Load load {std::chrono::milliseconds(200), std::chrono::milliseconds(107), 0};
            const double capacity = Slots / std::chrono::duration<double>(load.meanRun).count();
            load.requestsPerSecond = 1.2 * capacity;
            const Result result = Replay(load, seed).run();
            const double carried = capacity * std::chrono::duration<double>(Length).count();
            CPPUNIT_ASSERT_MESSAGE(labelOf(seed, result, carried), static_cast<double>(result.answered) > 0.85 * carried);
        }
    }

    // Guards against large answers that are accepted because nothing waits on the link yet, while the runs in progress are
    // about to fill it: label sheets of 90 kB, 1.4 times what a link of 5 Mbit/s carries.
    void testLargeAnswersKeepTheirTarget()
    {
        for (std::uint64_t seed = 0; seed < 10; ++seed) {
            Load load {std::chrono::milliseconds(1000), std::chrono::milliseconds(180), 0, 90'000, 625'000};
            const double capacity = load.linkBytesPerSecond / static_cast<double>(load.answerBytes);
            load.requestsPerSecond = 1.4 * capacity;
            const Result result = Replay(load, seed).run();
            const double carried = capacity * std::chrono::duration<double>(Length).count();
            const std::string label = labelOf(seed, result, carried);
            CPPUNIT_ASSERT_MESSAGE(label, static_cast<double>(result.answered) > 0.8 * carried);
            CPPUNIT_ASSERT_MESSAGE(label, static_cast<double>(result.inTarget) > 0.9 * static_cast<double>(result.answered));
        }
    }

    // Guards against a first request on a new connection whose delay is not noticed, and against clocks of different starts
    // of a peer that are compared.
    void testTransitDelayOnANewConnection()
    {
        constexpr std::uint64_t Clocks = 100'000;
        TransitDelays delays(2);
        CPPUNIT_ASSERT(delays.record("p-1", 1, 1000, Clocks + 1000) == Duration(0));
        // The connection ended, and the first request on the next one is held up for 1.4 s.
        const Duration delay = delays.record("p-1", 1, 2000, Clocks + 3400);
        // Less what the clocks may have drifted apart in 2.4 s.
        CPPUNIT_ASSERT(delay <= std::chrono::milliseconds(1400) && delay >= std::chrono::milliseconds(1397));
        CPPUNIT_ASSERT(delays.record("p-2", 1, 5, Clocks + 3400) == Duration(0));
        // A peer that has started anew has another clock.
        CPPUNIT_ASSERT(delays.record("p-1", 2, 10, Clocks + 3500) == Duration(0));
        // The peer that came first is forgotten where there are too many.
        CPPUNIT_ASSERT(delays.record("p-3", 1, 1, Clocks) == Duration(0));
        CPPUNIT_ASSERT(delays.record("p-2", 1, 6, Clocks + 3501) >= std::chrono::milliseconds(99));
        CPPUNIT_ASSERT(delays.record("p-1", 2, 11, Clocks + 9000) == Duration(0));
    }

    // Guards against a delay that is taken from the difference of two clocks, and against one that lasts after a pause.
    void testTransitDelay()
    {
        struct Step
        {
            std::string name;
            std::uint64_t sentMs;
            std::uint64_t receivedMs;
            std::int64_t delayMs;
        };
        const std::vector<Step> steps {
            {"first, other clock", 5'000'000, 1'000, 0},
            {"as fast", 5'000'100, 1'100, 0},
            {"held up", 5'000'200, 1'900, 700},
            {"still held up", 5'000'300, 1'950, 650},
            {"as fast again", 5'002'000, 3'001, 0},
            {"faster", 5'002'100, 3'098, 0},
            {"faster is usual now", 5'002'200, 3'200, 2},
        };
        TransitDelay delay;
        for (const Step &step : steps) {
            const Duration measured = delay.record(step.sentMs, step.receivedMs);
            // The drift that is allowed for takes up to 2 ms within these 2 s.
            const std::int64_t differenceMs =
                std::abs(std::chrono::duration_cast<std::chrono::milliseconds>(measured).count() - step.delayMs);
            CPPUNIT_ASSERT_MESSAGE(step.name, differenceMs <= 2);
        }
    }

    // Guards against a run for a caller that has left while its request waited on a full link, and against more time than
    // the caller gave.
    void testHeldUpRequestIsNotRun()
    {
        struct Case
        {
            std::string name;
            Duration transitDelay;
            bool isRun;
            std::uint32_t timeLeftMs;
        };
        const std::vector<Case> cases {
            {"on time", Duration(0), true, 1000},
            {"held up", std::chrono::milliseconds(600), true, 400},
            {"held up until its deadline", std::chrono::milliseconds(1000), false, 0},
            {"held up for seconds", std::chrono::seconds(3), false, 0},
        };
        for (const Case &item : cases) {
            Clock clock = Clock::manual();
            CrashSuspects suspects({}, clock);
            UpstreamGate gate({}, suspects, clock);
            gate.handle(UpstreamAnnounced {"u", "desk", Slots, 100, true});
            PeerRequest held = request(1, std::chrono::milliseconds(500));
            held.transitDelay = item.transitDelay;
            const std::vector<GateOutput> outputs = gate.handle(held);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, std::size_t(1), outputs.size());
            const auto *start = std::get_if<StartUpstreamRequest>(&outputs.front());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.isRun, start != nullptr);
            if (start != nullptr) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.timeLeftMs, start->frame.timeLeftMs);
                continue;
            }
            const auto &answer = std::get<SendAnswer>(outputs.front());
            CPPUNIT_ASSERT_MESSAGE(item.name, answer.frame.outcome == RequestOutcome::NotRun);
            CPPUNIT_ASSERT_MESSAGE(item.name, answer.frame.code == ErrorCode::DeadlineExceeded);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOverload);

} // namespace Fuchsiastep
