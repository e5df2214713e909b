#include <LibMembership/Cluster.h>

#include <algorithm>
#include <iostream>

namespace Fuchsiastep {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TestMembers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestMembers);
    CPPUNIT_TEST(testJoinByContacts);
    CPPUNIT_TEST(testContactsAreWrittenAgainAfterARestore);
    CPPUNIT_TEST(testFailedMemberIsRemoved);
    CPPUNIT_TEST(testNoFalseRemovalUnderLoss);
    CPPUNIT_TEST(testHerdKilledAndBack);
    CPPUNIT_TEST(testPausedMember);
    CPPUNIT_TEST(testAsymmetricCut);
    CPPUNIT_TEST(testRemovalNeedsTwoAccusers);
    CPPUNIT_TEST(testOwnIsolationRemovesNobody);
    CPPUNIT_TEST(testLeavingMemberIsOutWithinSeconds);
    CPPUNIT_TEST(testTwoMembers);
    CPPUNIT_TEST(testDataCentresExchangeMembers);
    CPPUNIT_TEST(testCrashSuspectsReachEveryProxy);
    CPPUNIT_TEST(testCrashSuspectsReachProxiesThatWereCutOff);
    CPPUNIT_TEST(testCrashSuspectsReachRestartedProxies);
    CPPUNIT_TEST(testCrashSuspectsOutlastTheFleet);
    CPPUNIT_TEST(testDeparturesOutlastTheProcess);
    CPPUNIT_TEST(testDeparturesOutlastTheFleet);
    CPPUNIT_TEST(testDeparturesOfForgottenMembersAreRemoved);
    CPPUNIT_TEST(testOlderDeparturesDoNotReplaceOwn);
    CPPUNIT_TEST(testDepartureOfTheOnlyMember);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t Seeds = 20;

    // Guards against a member that stays unknown because contact rows, contacts or frames are missing.
    void testJoinByContacts()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster(seed, {.lossProbability = 0.05});
            cluster.add(10);
            cluster.add(4, "gatton");
            cluster.runUntil([&] { return cluster.agrees(); }, seconds(60), "members do not find each other");
            cluster.run(seconds(31));
            std::size_t rows = 0;
            for (const auto &[key, address] : cluster.platform.rows) {
                rows += key.starts_with(ContactPrefix) ? 1U : 0U;
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(cluster.seed, 2 * ContactSlots, rows);
            // A refresh wrote only the slots that the rendezvous hash selects.
            for (std::size_t slot = 0; slot < ContactSlots; ++slot) {
                const std::string key = contactKey("gatton", slot);
                const auto owner = rendezvousMembers(cluster.nodes[12].proxy->table, "gatton", key, 1);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(cluster.seed, owner.front()->address.toString(), cluster.platform.rows[key]);
            }
        }
    }

    // Guards against a data centre that starting proxies cannot find for up to a refresh period, because the platform lost its
    // contact rows.
    void testContactsAreWrittenAgainAfterARestore()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster(seed);
            cluster.add(10);
            cluster.runUntil([&] { return cluster.agrees(); }, seconds(60), "members do not find each other");
            cluster.run(seconds(40));
            cluster.losePlatformRows();
            cluster.run(seconds(2));
            const auto rows = std::count_if(cluster.platform.rows.begin(), cluster.platform.rows.end(), [](const auto &row) {
                return row.first.starts_with(ContactPrefix);
            });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(cluster.seed, std::ptrdiff_t(ContactSlots), rows);
        }
    }

    // Guards against failed members that receive requests for longer than seconds.
    void testFailedMemberIsRemoved()
    {
        for (const std::size_t members : {3U, 14U, 50U}) {
            std::vector<Duration> times;
            std::size_t falseRemovals = 0;
            for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
                Cluster cluster(seed, {.lossProbability = 0.02});
                cluster.add(members);
                cluster.introduceAll();
                cluster.run(seconds(5));
                cluster.kill(cluster.random.below(members));
                times.push_back(cluster.runUntil([&] { return cluster.agrees(); }, seconds(15), "failed member stays"));
                falseRemovals += cluster.falseRemovals;
            }
            std::sort(times.begin(), times.end());
            std::cout << "removal with " << members << " members: median " << times[times.size() / 2].count() / 1000 << " ms, longest "
                      << times.back().count() / 1000 << " ms of test-clock time, " << falseRemovals << " false removals, " << Seeds
                      << " seeds\n";
            CPPUNIT_ASSERT_EQUAL(std::size_t {0}, falseRemovals);
        }
    }

    // Guards against removals because of lost datagrams.
    void testNoFalseRemovalUnderLoss()
    {
        std::size_t falseRemovals = 0;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster(seed, {.lossProbability = 0.05, .repeatProbability = 0.05});
            cluster.add(14);
            cluster.introduceAll();
            cluster.run(seconds(60));
            falseRemovals += cluster.falseRemovals;
            CPPUNIT_ASSERT_MESSAGE(cluster.seed, cluster.agrees());
        }
        std::cout << "5% loss: " << falseRemovals << " false removals in " << Seeds << " runs of 60 s with 14 members\n";
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, falseRemovals);
    }

    // Guards against a mass failure that is taken for isolation for ever, and against a return that is not noticed.
    void testHerdKilledAndBack()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster(seed);
            cluster.add(30);
            cluster.run(seconds(40));
            for (std::size_t i = 0; i < 12; ++i) {
                cluster.kill(i);
            }
            cluster.runUntil([&] { return cluster.agrees(); }, seconds(60), "killed members stay");
            for (std::size_t i = 0; i < 12; ++i) {
                cluster.start(i);
            }
            cluster.runUntil([&] { return cluster.agrees(); }, seconds(60), "returned members are not known");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(cluster.seed, std::size_t {0}, cluster.falseRemovals);
        }
    }

    // Guards against a process that accuses others after a pause, or that stays removed.
    void testPausedMember()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster(seed);
            cluster.add(14);
            cluster.introduceAll();
            cluster.run(seconds(5));
            const std::uint64_t incarnation = cluster.nodes[0].proxy->table.self().incarnation;
            cluster.freeze(0);
            cluster.run(seconds(20));
            CPPUNIT_ASSERT_MESSAGE(cluster.seed, !cluster.knowsAsLive(1, 0));
            cluster.thaw(0);
            CPPUNIT_ASSERT_MESSAGE(cluster.seed, cluster.nodes[0].proxy->table.self().incarnation > incarnation);
            cluster.runUntil([&] { return cluster.agrees(); }, seconds(10), "resumed member is not known");
            cluster.run(seconds(10));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(cluster.seed, std::size_t {0}, cluster.falseRemovals);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(cluster.seed, std::size_t {13}, cluster.trueRemovals);
        }
    }

    // Guards against a removal by one accuser, whose own link is the fault.
    void testAsymmetricCut()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster(seed, {.lossProbability = 0.02});
            cluster.add(14);
            cluster.introduceAll();
            cluster.isCut = [](std::size_t from, std::size_t to) {
                return from == 1 && to == 0;
            };
            cluster.run(seconds(60));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(cluster.seed, std::size_t {0}, cluster.falseRemovals);
        }
    }

    // Guards against a removal on the word of one member, where the accused cannot hear of it and refute.
    void testRemovalNeedsTwoAccusers()
    {
        Clock clock = Clock::manual();
        Random random(1);
        const auto record = [](std::size_t index) {
            const std::string id = "proxy-" + std::to_string(index);
            return MemberRecord {id, 1, 0, MemberState::Serving, Cluster::addressOf(index), "tivoli", "munster"};
        };
        MembershipTable table(record(0), clock);
        FailureDetector detector({}, table, clock, random);
        detector.handle(MergeRecords {{record(1), record(2), record(3), record(4)}});
        // Everybody but proxy-1 answers at once.
        const auto run = [&](Duration length) {
            for (const TimePoint end = clock.now() + length; clock.now() < end; clock.advance(milliseconds(50))) {
                for (const FailureDetectorOutput &output : detector.advance()) {
                    const auto *send = std::get_if<SendProbe>(&output);
                    const auto *ping = send == nullptr ? nullptr : std::get_if<Ping>(&send->datagram);
                    if (ping != nullptr && ping->targetId != "proxy-1") {
                        detector.handle(ReceivedProbe {send->receiver, Ack {{ping->targetId}, ping->sequence, ping->targetId}});
                    }
                }
            }
        };
        run(seconds(60));
        CPPUNIT_ASSERT(table.find("proxy-1")->state == MemberState::Suspect);
        MemberUpdate accusation {record(1), "proxy-2"};
        accusation.record.state = MemberState::Suspect;
        detector.handle(ReceivedProbe {Cluster::addressOf(2), Ack {{"proxy-2", {}, {accusation}}, 0, "proxy-2"}});
        run(seconds(2));
        CPPUNIT_ASSERT(table.find("proxy-1")->state == MemberState::Failed);
    }

    // Guards against a proxy that empties its table because it is cut off itself, also where it still can send.
    void testOwnIsolationRemovesNobody()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            const bool isDeafOnly = seed % 2 == 0;
            Cluster cluster(seed);
            cluster.add(14);
            cluster.introduceAll();
            cluster.run(seconds(5));
            cluster.isCut = [&](std::size_t from, std::size_t to) {
                return (to == 0) != (from == 0) && (to == 0 || !isDeafOnly);
            };
            cluster.run(seconds(60));
            CPPUNIT_ASSERT_MESSAGE(cluster.seed, cluster.nodes[0].proxy->detector.isIsolated());
            for (std::size_t i = 1; i < 14; ++i) {
                CPPUNIT_ASSERT_MESSAGE(cluster.seed, cluster.knowsAsLive(0, i));
            }
            const std::size_t removals = cluster.falseRemovals;
            cluster.isCut = [](std::size_t, std::size_t) {
                return false;
            };
            cluster.runUntil([&] { return cluster.agrees() && !cluster.nodes[0].proxy->detector.isIsolated(); },
                seconds(30),
                "the proxy does not recover");
            cluster.run(seconds(20));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(cluster.seed, removals, cluster.falseRemovals);
        }
    }

    // Guards against new work for a member that leaves or drains.
    void testLeavingMemberIsOutWithinSeconds()
    {
        Duration longest {};
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster(seed, {.lossProbability = 0.05});
            cluster.add(50);
            cluster.introduceAll();
            cluster.run(seconds(5));
            cluster.leave(cluster.random.below(50));
            longest = std::max(longest, cluster.runUntil([&] { return cluster.agrees(); }, seconds(5), "leaving member stays"));
        }
        std::cout << "leave with 50 members: longest " << longest.count() / 1000 << " ms of test-clock time\n";
    }

    // Guards against two members that remove each other, or that keep a dead one although the platform answers.
    void testTwoMembers()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster(seed);
            cluster.add(2);
            cluster.introduceAll();
            cluster.kill(1);
            cluster.run(seconds(60));
            CPPUNIT_ASSERT_MESSAGE(cluster.seed, cluster.knowsAsLive(0, 1));
            for (int i = 0; i < 60; ++i) {
                cluster.nodes[0].proxy->detector.handle(OutsideReached {});
                cluster.run(seconds(1));
            }
            CPPUNIT_ASSERT_MESSAGE(cluster.seed, !cluster.knowsAsLive(0, 1));
        }
    }

    // Guards against remote members that are removed because their data centre cannot be reached.
    void testDataCentresExchangeMembers()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster(seed, {.lossProbability = 0.02});
            cluster.add(6);
            cluster.add(6, "gatton");
            cluster.runUntil([&] { return cluster.agrees(); }, seconds(60), "members do not find each other");
            cluster.isCut = [](std::size_t from, std::size_t to) {
                return (from < 6) != (to < 6);
            };
            cluster.run(seconds(30));
            bool isUnreachable = false;
            for (std::size_t i = 0; i < 6; ++i) {
                isUnreachable = isUnreachable || !cluster.nodes[i].proxy->remote.isReachable("gatton");
                CPPUNIT_ASSERT_MESSAGE(cluster.seed, cluster.knowsAsLive(i, 8));
            }
            CPPUNIT_ASSERT_MESSAGE(cluster.seed, isUnreachable);
            cluster.kill(8);
            cluster.run(seconds(20));
            cluster.isCut = [](std::size_t, std::size_t) {
                return false;
            };
            cluster.runUntil([&] { return cluster.agrees(); }, seconds(20), "the change does not arrive after the partition");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(cluster.seed, std::size_t {0}, cluster.falseRemovals);
        }
    }

    static constexpr std::uint64_t Fingerprint = 4711;
    static constexpr std::uint64_t CrashId = 1;
    /// Within this time every proxy has to know of a crash, or it sends the request to further upstreams.
    static constexpr Duration SuspectSpreadTime = seconds(3);

    static Cluster clusterOfDataCentres(std::uint64_t seed)
    {
        Cluster cluster(seed, {.lossProbability = 0.05});
        for (const std::string dataCentre : {"toowoomba", "gatton", "ipswich", "brisbane"}) {
            cluster.add(4, dataCentre);
        }
        cluster.introduceAll();
        cluster.run(seconds(5));
        return cluster;
    }

    // Guards against a request that crashes upstreams in each data centre anew, because the crashes are known only in the
    // data centres where they happened.
    void testCrashSuspectsReachEveryProxy()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster = clusterOfDataCentres(seed);
            cluster.recordCrash(cluster.random.below(cluster.nodes.size()), {Fingerprint, {{CrashId}}});
            cluster.runUntil([&] { return cluster.allSuspect(Fingerprint); }, SuspectSpreadTime, "a proxy does not know of the crash");
        }
    }

    // Guards against a data centre that was cut off during the crash and does not learn of it afterwards.
    void testCrashSuspectsReachProxiesThatWereCutOff()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster = clusterOfDataCentres(seed);
            const auto isInside = [](std::size_t index) {
                return index < 4;
            };
            cluster.isCut = [&](std::size_t from, std::size_t to) {
                return isInside(from) != isInside(to);
            };
            cluster.run(seconds(1));
            cluster.recordCrash(4 + cluster.random.below(12), {Fingerprint, {{CrashId}}});
            cluster.run(seconds(1) + cluster.random.jitter(seconds(15)));
            cluster.isCut = [](std::size_t, std::size_t) {
                return false;
            };
            cluster.runUntil([&] { return cluster.allSuspect(Fingerprint); }, SuspectSpreadTime, "not known after the cut");
        }
    }

    // Guards against restarted proxies, also a whole data centre of them, that send the request on because they know nothing
    // of earlier crashes.
    void testCrashSuspectsReachRestartedProxies()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster = clusterOfDataCentres(seed);
            cluster.recordCrash(cluster.random.below(cluster.nodes.size()), {Fingerprint, {{CrashId}}});
            cluster.run(seconds(40));
            const std::size_t first = 4 * cluster.random.below(4);
            const std::size_t count = seed % 2 == 0 ? 4 : 1;
            for (std::size_t index = first; index < first + count; ++index) {
                cluster.kill(index);
            }
            cluster.run(milliseconds(500));
            for (std::size_t index = first; index < first + count; ++index) {
                cluster.start(index);
            }
            cluster.runUntil([&] { return cluster.allSuspect(Fingerprint); }, SuspectSpreadTime, "not known after the restart");
        }
    }

    // Guards against a request that crashes upstreams anew after every proxy was killed at the same moment.
    void testCrashSuspectsOutlastTheFleet()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster = clusterOfDataCentres(seed);
            for (std::uint64_t crash = 1; crash <= 3; ++crash) {
                cluster.recordCrash(cluster.random.below(cluster.nodes.size()), {Fingerprint, {{crash}}});
            }
            cluster.run(seconds(3));
            for (std::size_t index = 0; index < cluster.nodes.size(); ++index) {
                cluster.kill(index);
            }
            for (std::size_t index = 0; index < cluster.nodes.size(); ++index) {
                cluster.start(index);
            }
            cluster.runUntil([&] { return cluster.allSuspect(Fingerprint); }, SuspectSpreadTime, "not known after the restart");
            for (const Cluster::Node &node : cluster.nodes) {
                const auto known = node.proxy->detector.crashSuspects().find(Fingerprint);
                CPPUNIT_ASSERT_MESSAGE(cluster.seed, known && known->openCrashes() == 3);
                CPPUNIT_ASSERT_MESSAGE(cluster.seed, known->sinceLastCrash() >= seconds(3));
            }
        }
    }

    /// An upstream takes its departure for not acknowledged after this time.
    static constexpr Duration AcknowledgementTime = seconds(1);

    // Guards against a departure that is forgotten where the proxy that acknowledged it ends at that moment, alone or together
    // with one of the members that hold it, on links that lose datagrams. Counts within the time that the upstream drains.
    void testDeparturesOutlastTheProcess()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster(seed, {.lossProbability = 0.05, .repeatProbability = 0.05});
            cluster.add(6, "gatton");
            cluster.add(6, "ipswich");
            cluster.runUntil([&] { return cluster.agrees(); }, seconds(60), "members do not find each other");
            const std::size_t beside = cluster.random.below(6);
            const std::size_t other = (beside + 1 + cluster.random.below(5)) % 6;
            const auto isHeld = [&] {
                return cluster.nodes[beside].isDepartureHeld;
            };
            cluster.recordDeparture(beside, {"desk-1", 10});
            cluster.runUntil(isHeld, AcknowledgementTime, "not held");
            cluster.run(seconds(5));
            cluster.recordDeparture(beside, {"desk-2", 20});
            cluster.runUntil(isHeld, AcknowledgementTime, "not held");
            cluster.kill(beside);
            if (seed % 2 == 0) {
                cluster.kill(other);
            }
            cluster.run(milliseconds(500));
            cluster.start(beside);
            if (seed % 2 == 0) {
                cluster.start(other);
            }
            const auto isLearned = [&] {
                const std::optional<DepartedUpstream> &learned = cluster.nodes[beside].learnedDeparture;
                return learned && learned->upstreamId == "desk-2" && learned->startedUnixMs == 20;
            };
            cluster.runUntil(isLearned, seconds(2), "not learned after the restart");
            // The members hold it for the next restart as well.
            cluster.run(seconds(20));
            cluster.kill(beside);
            cluster.run(milliseconds(500));
            cluster.start(beside);
            cluster.runUntil(isLearned, seconds(2), "not learned after the second restart");
        }
    }

    // Guards against a departure that is forgotten where every proxy is killed at the same moment, also where the platform was
    // down when the departure was acknowledged or came back from an older copy.
    void testDeparturesOutlastTheFleet()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster(seed);
            cluster.add(6);
            cluster.runUntil([&] { return cluster.agrees(); }, seconds(60), "members do not find each other");
            const std::size_t beside = cluster.random.below(6);
            cluster.nodes[beside].isPlatformCut = seed % 3 == 0;
            cluster.recordDeparture(beside, {"desk-1", 10});
            cluster.runUntil([&] { return cluster.nodes[beside].isDepartureHeld; }, AcknowledgementTime, "not held");
            if (seed % 3 == 0) {
                cluster.run(seconds(5));
                cluster.nodes[beside].isPlatformCut = false;
                cluster.run(seconds(3));
            } else if (seed % 3 == 1) {
                cluster.losePlatformRows();
                cluster.run(seconds(2));
            } else {
                cluster.run(milliseconds(50));
            }
            for (std::size_t index = 0; index < cluster.nodes.size(); ++index) {
                cluster.kill(index);
            }
            for (std::size_t index = 0; index < cluster.nodes.size(); ++index) {
                cluster.start(index);
            }
            for (std::size_t index = 0; index < cluster.nodes.size(); ++index) {
                cluster.wantDepartureHistory(index);
            }
            cluster.run(seconds(2));
            for (std::size_t index = 0; index < cluster.nodes.size(); ++index) {
                CPPUNIT_ASSERT_MESSAGE(cluster.seed, cluster.nodes[index].isDepartureHistoryKnown);
                const std::optional<DepartedUpstream> &learned = cluster.nodes[index].learnedDeparture;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(cluster.seed, index == beside, learned.has_value());
                CPPUNIT_ASSERT_MESSAGE(cluster.seed, !learned || (learned->upstreamId == "desk-1" && learned->startedUnixMs == 10));
            }
        }
    }

    // Guards against rows that stay for each proxy that ever was, and against rows of members that are still remembered.
    void testDeparturesOfForgottenMembersAreRemoved()
    {
        Cluster cluster(1);
        cluster.add(5);
        cluster.introduceAll();
        cluster.run(seconds(5));
        cluster.recordDeparture(0, {"desk-1", 10});
        cluster.recordDeparture(1, {"desk-2", 10});
        cluster.run(seconds(5));
        cluster.leave(0);
        const auto hasRow = [&](std::size_t index) {
            return cluster.platform.rows.contains(departureKey(cluster.nodes[index].id));
        };
        cluster.run(MembershipTable::DefaultTombstoneTime - seconds(5));
        CPPUNIT_ASSERT(hasRow(0) && hasRow(1));
        cluster.run(seconds(10));
        CPPUNIT_ASSERT(!hasRow(0) && hasRow(1));
    }

    // Guards against a departure that is lost because an earlier process, whose clock was ahead, acknowledged another one.
    void testOlderDeparturesDoNotReplaceOwn()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Cluster cluster(seed);
            cluster.add(4);
            cluster.introduceAll();
            MemberRecord earlier = cluster.nodes[0].proxy->table.self();
            earlier.incarnation += 1000;
            earlier.departed = DepartedUpstream {"desk-1", 10, earlier.incarnation, 5};
            const bool isLearnedBefore = seed % 2 == 0;
            if (isLearnedBefore) {
                cluster.learnStoredDeparture(0, *earlier.departed);
            } else {
                cluster.merge(1, earlier);
            }
            cluster.recordDeparture(0, {"desk-2", 20});
            const auto isHeld = [&] {
                return std::all_of(cluster.nodes.begin(), cluster.nodes.end(), [&](const Cluster::Node &node) {
                    const MemberRecord *record = node.proxy->table.find("proxy-0");
                    return record != nullptr && record->departed && record->departed->upstreamId == "desk-2";
                });
            };
            cluster.runUntil(isHeld, seconds(10), "the later departure is not held");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(cluster.seed, isLearnedBefore, cluster.nodes[0].learnedDeparture.has_value());
        }
    }

    // Guards against an upstream that waits for its acknowledgement where no other member could hold the departure.
    void testDepartureOfTheOnlyMember()
    {
        Cluster cluster(1);
        cluster.add(1);
        cluster.recordDeparture(0, {"desk-1", 10});
        CPPUNIT_ASSERT(cluster.nodes[0].isDepartureHeld);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestMembers);

} // namespace Fuchsiastep
