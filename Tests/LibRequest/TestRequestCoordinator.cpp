#include <LibRequest/LibRequest.h>
#include <LibWire/LibWire.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace Fuchsiastep {

class TestRequestCoordinator : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRequestCoordinator);
    CPPUNIT_TEST(testOutcomesAndRetries);
    CPPUNIT_TEST(testRefusedAtOnce);
    CPPUNIT_TEST(testBoundsOnRequestsAndBytes);
    CPPUNIT_TEST(testLargestAnswerMakesRoom);
    CPPUNIT_TEST(testRequestsFitIntoFrames);
    CPPUNIT_TEST(testAnswersFromOtherConnectionsAreDropped);
    CPPUNIT_TEST(testOneIsolatedRunDecidesForAllLikeIt);
    CPPUNIT_TEST(testTrialsOfAllProxiesGoToOneUpstream);
    CPPUNIT_TEST(testHeldOffCallerIsToldWhenToComeBack);
    CPPUNIT_TEST(testRequestIsRecognisedOnEveryRoute);
    CPPUNIT_TEST(testEndOfAnEarlierConnectionConcernsNoLaterRequest);
    CPPUNIT_TEST(testUpstreamsThatDeclinedAreLeftOut);
    CPPUNIT_TEST_SUITE_END();

    struct Fixture
    {
        explicit Fixture(std::size_t upstreams = 5, const RequestCoordinator::Settings &settings = {}, Duration targetLatency = Duration(0))
            : coordinator(settings, routing, selector, clock)
        {
            auto rules = std::make_shared<Selector>();
            rules->service = "desk";
            rules->rules.targetLatency = targetLatency;
            if (targetLatency.count() > 0) {
                rules->rules.locality = LocalityPreference::Fastest;
            }
            Route all {rules, {}};
            for (std::size_t index = 0; index < upstreams; ++index) {
                const std::string number = std::to_string(index);
                all.endpoints.push_back(std::make_shared<const Endpoint>(
                    Endpoint {"u" + number, "desk", "p" + number, 1, "dc", "region", {}, {}, 6, false, 60000}));
                take(coordinator.handle(PeerConnected {"p" + number, index, 1}));
            }
            route = std::make_shared<const Route>(all);
        }

        void send(const std::string &method, const std::string &key, const std::string &body = {})
        {
            take(coordinator.handle(CallerRequest {++token, "till", "desk", method, "/", {}, key, std::nullopt, body, route}));
        }

        void take(const std::vector<CoordinatorOutput> &outputs)
        {
            for (const CoordinatorOutput &output : outputs) {
                std::visit(Overloaded {
                               [this](const SendRequest &item) { sent.push_back(item); },
                               [this](const SendCancel &item) { cancelled.push_back(item); },
                               [this](const CallerAnswer &item) { told.push_back(item); },
                           },
                    output);
            }
        }

        /// Ends the request that was sent last.
        void answer(RequestOutcome outcome, ErrorCode code = ErrorCode::None, std::uint64_t bodyLength = 0, const LoadReport &load = {})
        {
            AnswerFrame frame {sent.back().frame.requestId, outcome, code, {}, 200, {}, {}, bodyLength, {}};
            frame.load = load;
            frame.crashId = code == ErrorCode::UpstreamCrashed ? frame.requestId + 1000 : 0;
            const std::uint64_t connection = std::stoul(sent.back().proxyId.substr(1));
            take(coordinator.handle(PeerAnswer {sent.back().proxyId, connection, 1, frame}));
        }

        Clock clock = Clock::manual();
        Random random {1};
        RoutingState routing {{}, clock, random};
        UpstreamSelector selector {{"dc", "region"}, routing, random};
        RequestCoordinator coordinator;
        std::shared_ptr<const Route> route;
        CallerToken token = 0;
        std::vector<SendRequest> sent;
        std::vector<SendCancel> cancelled;
        std::vector<CallerAnswer> told;
    };

    // Guards against "not run" for a request that is on its way: the failure of an earlier connection to the same proxy is
    // told after the request was sent on a new one.
    void testEndOfAnEarlierConnectionConcernsNoLaterRequest()
    {
        Fixture fixture(1);
        fixture.send("POST", "key");
        fixture.coordinator.noteConnection(fixture.sent.back().frame.requestId, 8);
        fixture.take(fixture.coordinator.handle(PeerConnectFailed {"p0", 7}));
        fixture.take(fixture.coordinator.handle(PeerConnectionLost {"p0", 7}));
        CPPUNIT_ASSERT(fixture.told.empty());
        fixture.take(fixture.coordinator.handle(PeerConnectionLost {"p0", 8}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.told.size());
        CPPUNIT_ASSERT(fixture.told[0].outcome == RequestOutcome::Unknown);
    }

    // Guards against requests that are offered again and again to upstreams that have just declined their like, and against
    // upstreams that are left out for longer than that helps.
    void testUpstreamsThatDeclinedAreLeftOut()
    {
        Fixture fixture(2, {}, std::chrono::milliseconds(800));
        fixture.routing.declines.setProxyCount(1000);
        const std::size_t declined = DeclineMemory::Settings().declinesInRow;
        for (std::size_t request = 0; request < declined; ++request) {
            fixture.send("GET", {});
            for (int offer = 0; offer < 2; ++offer) {
                fixture.answer(RequestOutcome::NotRun, ErrorCode::UpstreamBusy, 0, {6, 6, 20, 0, 72, 0, 0});
            }
        }
        CPPUNIT_ASSERT_EQUAL(2 * declined, fixture.sent.size());
        CPPUNIT_ASSERT_EQUAL(declined, fixture.told.size());

        fixture.send("GET", {});
        CPPUNIT_ASSERT_EQUAL(2 * declined, fixture.sent.size());
        CPPUNIT_ASSERT_EQUAL(declined + 1, fixture.told.size());
        const CallerAnswer &refused = fixture.told.back();
        CPPUNIT_ASSERT(refused.outcome == RequestOutcome::NotRun && refused.code == ErrorCode::UpstreamBusy);
        CPPUNIT_ASSERT(refused.retryAfter.has_value());

        // Half of the target and the spread are over.
        fixture.clock.advance(std::chrono::milliseconds(501));
        fixture.send("GET", {});
        CPPUNIT_ASSERT_EQUAL(2 * declined + 1, fixture.sent.size());
    }

    // Guards against retries of work that may have run, retries on the same upstream, and a wrong outcome.
    void testOutcomesAndRetries()
    {
        using Event = std::function<void(Fixture &)>;
        const Event busy = [](Fixture &fixture) {
            fixture.answer(RequestOutcome::NotRun, ErrorCode::UpstreamBusy);
        };
        const Event heldOff = [](Fixture &fixture) {
            fixture.answer(RequestOutcome::NotRun, ErrorCode::RequestHeldOff);
        };
        const Event noClaim = [](Fixture &fixture) {
            fixture.answer(RequestOutcome::NotRun, ErrorCode::ClaimUnavailable);
        };
        const Event unknown = [](Fixture &fixture) {
            fixture.answer(RequestOutcome::Unknown, ErrorCode::OutcomeUnknown);
        };
        const Event done = [](Fixture &fixture) {
            fixture.answer(RequestOutcome::Answered);
        };
        const Event lost = [](Fixture &fixture) {
            fixture.take(fixture.coordinator.handle(PeerConnectionLost {fixture.sent.back().proxyId}));
        };
        const Event cutOff = [lost](Fixture &fixture) {
            fixture.answer(RequestOutcome::Answered, ErrorCode::None, 10);
            lost(fixture);
        };
        const Event unreachable = [](Fixture &fixture) {
            fixture.take(fixture.coordinator.handle(PeerConnectFailed {fixture.sent.back().proxyId}));
        };
        const Event late = [](Fixture &fixture) {
            fixture.clock.advance(std::chrono::seconds(5));
            fixture.take(fixture.coordinator.advance());
        };
        struct Case
        {
            std::string name;
            std::string method;
            std::vector<Event> events;
            std::size_t tries;
            RequestOutcome outcome;
            ErrorCode code;
        };
        const std::vector<Case> cases {
            {"answered", "POST", {done}, 1, RequestOutcome::Answered, ErrorCode::None},
            {"busy, then answered", "POST", {busy, done}, 2, RequestOutcome::Answered, ErrorCode::None},
            {"busy everywhere", "POST", {busy, busy, busy}, 3, RequestOutcome::NotRun, ErrorCode::UpstreamBusy},
            {"unreachable, then answered", "POST", {unreachable, done}, 2, RequestOutcome::Answered, ErrorCode::None},
            {"held off", "GET", {heldOff}, 1, RequestOutcome::NotRun, ErrorCode::RequestHeldOff},
            {"no claim", "POST", {noClaim}, 1, RequestOutcome::NotRun, ErrorCode::ClaimUnavailable},
            {"unknown order", "POST", {unknown}, 1, RequestOutcome::Unknown, ErrorCode::OutcomeUnknown},
            {"busy, then unknown order", "POST", {busy, unknown}, 2, RequestOutcome::Unknown, ErrorCode::OutcomeUnknown},
            {"connection of an order lost", "POST", {lost}, 1, RequestOutcome::Unknown, ErrorCode::OutcomeUnknown},
            {"answer of an order cut off", "POST", {cutOff}, 1, RequestOutcome::Unknown, ErrorCode::AnswerTruncated},
            {"late order", "POST", {late}, 1, RequestOutcome::Unknown, ErrorCode::DeadlineExceeded},
            {"unknown, then answered", "GET", {unknown, done}, 2, RequestOutcome::Answered, ErrorCode::None},
            {"cut off, then answered", "GET", {cutOff, done}, 2, RequestOutcome::Answered, ErrorCode::None},
            {"unknown, then busy", "GET", {unknown, busy, busy}, 3, RequestOutcome::Unknown, ErrorCode::OutcomeUnknown},
            {"unknown, then held off", "GET", {unknown, heldOff}, 2, RequestOutcome::Unknown, ErrorCode::OutcomeUnknown},
        };
        for (const Case &item : cases) {
            Fixture fixture;
            fixture.send(item.method, "key");
            for (const Event &event : item.events) {
                CPPUNIT_ASSERT_MESSAGE(item.name, fixture.told.empty());
                event(fixture);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.tries, fixture.sent.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, std::size_t(1), fixture.told.size());
            CPPUNIT_ASSERT_MESSAGE(item.name, fixture.told[0].outcome == item.outcome && fixture.told[0].code == item.code);
            const std::size_t cancels = item.code == ErrorCode::DeadlineExceeded ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, cancels, fixture.cancelled.size());
            std::set<std::string> upstreams;
            for (const SendRequest &sent : fixture.sent) {
                CPPUNIT_ASSERT_MESSAGE(item.name, upstreams.insert(sent.frame.upstreamId).second);
                CPPUNIT_ASSERT_MESSAGE(item.name, sent.frame.isRepeatable == (item.method == "GET"));
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, std::uint64_t(0), fixture.coordinator.bufferedBytes());
            fixture.answer(RequestOutcome::Answered);
            CPPUNIT_ASSERT_MESSAGE(item.name, fixture.told.size() == 1 && fixture.coordinator.counts().lateAnswers == 1);
        }
    }

    // Guards against requests that leave the proxy although their rules or their size forbid it.
    void testRefusedAtOnce()
    {
        Fixture fixture;
        fixture.send("POST", "");
        fixture.send("GET", "", std::string(RequestCoordinator::Settings().maximumRequestBytes + 1, 'x'));
        fixture.route = std::make_shared<const Route>(Route {fixture.route->selector, {}});
        fixture.send("GET", "");
        fixture.route = nullptr;
        fixture.send("GET", "");
        const std::vector<ErrorCode> codes {ErrorCode::KeyRequired, ErrorCode::BodyTooLarge, ErrorCode::NoUpstream, ErrorCode::NoRoute};
        CPPUNIT_ASSERT(fixture.sent.empty() && fixture.told.size() == codes.size());
        for (std::size_t index = 0; index < codes.size(); ++index) {
            CPPUNIT_ASSERT(fixture.told[index].code == codes[index] && fixture.told[index].outcome == RequestOutcome::NotRun);
        }
    }

    // Guards against memory that grows with the callers.
    void testBoundsOnRequestsAndBytes()
    {
        RequestCoordinator::Settings settings;
        settings.maximumInFlight = 10;
        settings.maximumBufferedBytes = 1000;
        for (const std::size_t bodyLength : {std::size_t(1), std::size_t(300)}) {
            Fixture fixture(5, settings);
            for (int request = 0; request < 50; ++request) {
                fixture.send("GET", "", std::string(bodyLength, 'x'));
                CPPUNIT_ASSERT(fixture.coordinator.inFlight() <= 10 && fixture.coordinator.bufferedBytes() <= 1000);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(bodyLength == 1 ? 10 : 3), fixture.coordinator.inFlight());
            CPPUNIT_ASSERT(fixture.told.back().outcome == RequestOutcome::NotRun);
        }
    }

    // Guards against a request whose head and body together are longer than a frame: the peer would close the connection, and
    // every other request on it would end as unknown.
    void testRequestsFitIntoFrames()
    {
        const RequestCoordinator::Settings settings;
        const std::string body(settings.maximumRequestBytes, 'x');
        for (const std::size_t fields : {1U, 3U, 4U, 5U, 16U}) {
            for (const bool hasLongPath : {false, true}) {
                Fixture fixture;
                CallerRequest request {1, "till", "desk", "POST", "/", {}, "key", std::nullopt, body, fixture.route};
                request.path += std::string(hasLongPath ? 100'000 : 0, 'p');
                for (std::size_t field = 0; field < fields; ++field) {
                    request.headers["field-" + std::to_string(field)] = std::string(60'000, 'x');
                }
                const bool fits = fields * 60'000 + (hasLongPath ? 100'000 : 0) < settings.maximumRequestHeadBytes;
                fixture.take(fixture.coordinator.handle(request));
                CPPUNIT_ASSERT_EQUAL(std::size_t(fits ? 1 : 0), fixture.sent.size());
                if (fits) {
                    CPPUNIT_ASSERT(encodeFrame(fixture.sent[0].frame).size() <= MaximumFrameBytes);
                } else {
                    CPPUNIT_ASSERT(fixture.told.size() == 1 && fixture.told[0].code == ErrorCode::HeadTooLarge);
                    CPPUNIT_ASSERT(fixture.told[0].outcome == RequestOutcome::NotRun);
                }
            }
        }
    }

    // Guards against a large answer that uses up the memory, with the end of whichever small answer arrives next.
    void testLargestAnswerMakesRoom()
    {
        RequestCoordinator::Settings settings;
        settings.maximumBufferedBytes = 1000;
        Fixture fixture(5, settings);
        const auto part = [&fixture](std::size_t request, std::uint64_t bodyLength, std::uint64_t offset, std::size_t bytes) {
            const SendRequest &sent = fixture.sent.at(request);
            const std::uint64_t connection = std::stoul(sent.proxyId.substr(1));
            const bool isLast = offset + bytes == bodyLength;
            if (offset == 0) {
                AnswerFrame head {sent.frame.requestId, RequestOutcome::Answered, ErrorCode::None, {}, 200, {}, {}, bodyLength, {}};
                fixture.take(fixture.coordinator.handle(PeerAnswer {sent.proxyId, connection, 1, head}));
            }
            const AnswerPartFrame frame {sent.frame.requestId, offset, std::string(bytes, 'x'), isLast};
            fixture.take(fixture.coordinator.handle(PeerAnswer {sent.proxyId, connection, 1, frame}));
        };
        fixture.send("POST", "large");
        fixture.send("POST", "small");
        part(0, 5000, 0, 800);
        part(1, 300, 0, 200);
        CPPUNIT_ASSERT(fixture.told.empty());
        part(1, 300, 200, 50);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.told.size());
        CPPUNIT_ASSERT(fixture.told[0].token == 1 && fixture.told[0].outcome == RequestOutcome::Unknown);
        CPPUNIT_ASSERT(fixture.told[0].code == ErrorCode::AnswerTooLarge);
        CPPUNIT_ASSERT(fixture.cancelled.size() == 1 && fixture.cancelled[0].frame.requestId == fixture.sent[0].frame.requestId);
        part(1, 300, 250, 50);
        CPPUNIT_ASSERT(fixture.told.size() == 2 && fixture.told[1].token == 2 && fixture.told[1].body == std::string(300, 'x'));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fixture.coordinator.bufferedBytes());
    }

    // Guards against an answer of an earlier process or another proxy with the same request id.
    void testAnswersFromOtherConnectionsAreDropped()
    {
        Fixture fixture;
        fixture.send("POST", "key");
        AnswerFrame frame;
        frame.requestId = fixture.sent[0].frame.requestId;
        frame.outcome = RequestOutcome::Answered;
        const std::string proxyId = fixture.sent[0].proxyId;
        const std::uint64_t connection = std::stoul(proxyId.substr(1));
        const std::string other = proxyId == "p0" ? "p1" : "p0";
        fixture.take(fixture.coordinator.handle(PeerAnswer {other, connection == 0 ? 1U : 0U, 1, frame}));
        fixture.take(fixture.coordinator.handle(PeerAnswer {proxyId, connection, 2, frame}));
        fixture.take(fixture.coordinator.handle(PeerAnswer {proxyId, 99, 1, frame}));
        CPPUNIT_ASSERT(fixture.told.empty() && fixture.coordinator.counts().crossedAnswers == 3);
        // A connection that replaces an earlier one ends what was sent on that.
        fixture.take(fixture.coordinator.handle(PeerConnected {proxyId, 99, 2}));
        CPPUNIT_ASSERT(fixture.told.size() == 1 && fixture.told[0].outcome == RequestOutcome::Unknown);
    }

    // Guards against many copies of a suspect that run in isolation at once and lose an upstream each, and
    // against copies of an innocent that are not answered.
    void testOneIsolatedRunDecidesForAllLikeIt()
    {
        for (const bool isKiller : {false, true}) {
            Fixture fixture;
            const std::uint64_t fingerprint = requestFingerprint("till", "GET", "/", "");
            fixture.routing.suspects.recordCrash(1, {fingerprint}, false);
            fixture.routing.suspects.recordCrash(2, {fingerprint}, false);
            for (int copy = 0; copy < 8; ++copy) {
                fixture.send("GET", "");
            }
            CPPUNIT_ASSERT(fixture.sent.size() == 1 && fixture.sent[0].frame.isIsolated);
            if (isKiller) {
                fixture.answer(RequestOutcome::Unknown, ErrorCode::UpstreamCrashed);
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.sent.size());
                CPPUNIT_ASSERT_EQUAL(std::size_t(8), fixture.told.size());
                CPPUNIT_ASSERT(fixture.told.back().code == ErrorCode::RequestHeldOff);
            } else {
                fixture.answer(RequestOutcome::Answered);
                CPPUNIT_ASSERT_EQUAL(std::size_t(8), fixture.sent.size());
                CPPUNIT_ASSERT(!fixture.sent.back().frame.isIsolated);
            }
        }
    }

    // Guards against a request that starts anew, with no crash counted, where its route leads to another service.
    void testRequestIsRecognisedOnEveryRoute()
    {
        Fixture fixture;
        fixture.send("POST", "key");
        fixture.answer(RequestOutcome::Unknown, ErrorCode::UpstreamCrashed);
        fixture.send("POST", "key");
        fixture.answer(RequestOutcome::Unknown, ErrorCode::UpstreamCrashed);
        auto moved = std::make_shared<Route>(*fixture.route);
        auto selector = std::make_shared<Selector>(*moved->selector);
        selector->service = "archive";
        moved->selector = selector;
        fixture.take(fixture.coordinator.handle(CallerRequest {99, "till", "archive", "POST", "/", {}, "key", std::nullopt, {}, moved}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fixture.sent.size());
        CPPUNIT_ASSERT(!fixture.sent[1].frame.isIsolated && fixture.sent[2].frame.isIsolated);
    }

    // Guards against callers of a held off request that are told to come back at once, again and again.
    void testHeldOffCallerIsToldWhenToComeBack()
    {
        Fixture fixture;
        fixture.routing.suspects.recordCrash(1, {requestFingerprint("till", "GET", "/", "")}, true);
        fixture.clock.advance(std::chrono::seconds(20));
        fixture.send("GET", "");
        CPPUNIT_ASSERT(fixture.told.at(0).code == ErrorCode::RequestHeldOff);
        CPPUNIT_ASSERT(fixture.told.at(0).retryAfter == CrashSuspects::Settings().holdOff - std::chrono::seconds(20));
    }

    // Guards against proxies that try a suspect on an upstream each, so that one request costs as many upstreams as there
    // are proxies.
    void testTrialsOfAllProxiesGoToOneUpstream()
    {
        std::set<std::string> upstreams;
        std::set<std::string> next;
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            for (const bool isBusy : {false, true}) {
                Fixture fixture;
                fixture.random = Random(seed);
                const std::uint64_t fingerprint = requestFingerprint("till", "GET", "/", "");
                fixture.routing.suspects.recordCrash(1, {fingerprint}, false);
                fixture.routing.suspects.recordCrash(2, {fingerprint}, false);
                fixture.send("GET", "");
                CPPUNIT_ASSERT(fixture.sent.back().frame.isIsolated);
                upstreams.insert(fixture.sent.back().frame.upstreamId);
                fixture.answer(RequestOutcome::NotRun, isBusy ? ErrorCode::UpstreamBusy : ErrorCode::NoUpstream);
                // Another run in isolation may keep it busy; only an upstream that is gone is replaced.
                CPPUNIT_ASSERT_EQUAL(std::size_t(isBusy ? 1 : 2), fixture.sent.size());
                CPPUNIT_ASSERT_EQUAL(std::size_t(isBusy ? 1 : 0), fixture.told.size());
                if (!isBusy) {
                    next.insert(fixture.sent.back().frame.upstreamId);
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), upstreams.size());
        CPPUNIT_ASSERT(next.size() == 1 && next != upstreams);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRequestCoordinator);

} // namespace Fuchsiastep
