#include <LibFleet/FreshnessLease.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Fuchsiastep {

class TestFreshnessLease : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestFreshnessLease);
    CPPUNIT_TEST(testLeaseEnds);
    CPPUNIT_TEST(testOnlyTheVersionHeldCounts);
    CPPUNIT_TEST(testRepliesAreDatedByTheirReport);
    CPPUNIT_TEST(testReportsAreDatedByTheStampOfTheCoordinator);
    CPPUNIT_TEST(testMalformedKnowledgeIsIgnored);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration Revocation = std::chrono::seconds(5);

    struct Member
    {
        explicit Member(const Clock &clock) : lease({Revocation}, clock), topic(lease.topic())
        {
            lease.hold(7);
        }
        FreshnessLease lease;
        FleetTopicHandlers topic;
    };

    // Guards against a key that is honoured after the time in which its revocation has to be in force everywhere.
    void testLeaseEnds()
    {
        Clock clock = Clock::manual();
        Member member(clock);
        CPPUNIT_ASSERT(!member.lease.isValid());
        member.lease.note(7, clock.uninterruptedMilliseconds());
        CPPUNIT_ASSERT(member.lease.isValid());
        clock.advance(std::chrono::milliseconds(2999));
        CPPUNIT_ASSERT(member.lease.isValid());
        CPPUNIT_ASSERT(member.lease.startsBeforeMs() < clock.uninterruptedMilliseconds() + 2001);
        clock.advance(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(!member.lease.isValid());
        // A moment in the future is none.
        member.lease.note(7, clock.uninterruptedMilliseconds() + 60'000);
        CPPUNIT_ASSERT(member.lease.left() <= std::chrono::seconds(3));
    }

    // Guards against a proxy that trusts an older version because somebody has read a newer one.
    void testOnlyTheVersionHeldCounts()
    {
        Clock clock = Clock::manual();
        Member member(clock);
        member.lease.note(8, clock.uninterruptedMilliseconds());
        CPPUNIT_ASSERT(!member.lease.isValid());
        member.lease.hold(8);
        CPPUNIT_ASSERT(member.lease.isValid());
        // Where 8 was the newest then, nothing newer than 9 was there either.
        member.lease.hold(9);
        CPPUNIT_ASSERT(member.lease.isValid());
        for (ConfigurationVersion version = 10; version < 40; ++version) {
            member.lease.note(version, clock.uninterruptedMilliseconds());
        }
        CPPUNIT_ASSERT(!member.lease.isValid());
    }

    // Guards against a reply that was held up and counts as news: what it says was true when the report went out, or later.
    void testRepliesAreDatedByTheirReport()
    {
        struct Case
        {
            int readAgeMs;
            int heldUpMs;
            bool isValid;
        };
        for (const Case &item :
            std::vector<Case> {{0, 0, true}, {1000, 1000, true}, {0, 2999, true}, {0, 3000, false}, {2900, 200, false}}) {
            Clock clock = Clock::manual();
            Member coordinator(clock);
            Member member(clock);
            coordinator.lease.note(7, clock.uninterruptedMilliseconds());
            clock.advance(std::chrono::milliseconds(item.readAgeMs));
            const FleetReportTime reported {clock.uninterruptedMilliseconds()};
            const std::string reply = coordinator.topic.answer("member", member.topic.report());
            clock.advance(std::chrono::milliseconds(item.heldUpMs));
            member.topic.acceptReply(reported, reply);
            CPPUNIT_ASSERT_EQUAL(item.isValid, member.lease.isValid());
        }
    }

    // Guards against a report that was held up and counts as news at the coordinator, which then passes it on.
    void testReportsAreDatedByTheStampOfTheCoordinator()
    {
        for (const int heldUpMs : {0, 1000, 2900, 3100, 60'000}) {
            Clock clock = Clock::manual();
            Member coordinator(clock);
            Member reader(clock);
            // The first exchange gives the reader a stamp; a report without one tells the coordinator nothing.
            reader.lease.note(7, clock.uninterruptedMilliseconds());
            const FleetReportTime reported {clock.uninterruptedMilliseconds()};
            reader.topic.acceptReply(reported, coordinator.topic.answer("reader", reader.topic.report()));
            CPPUNIT_ASSERT(!coordinator.lease.isValid());
            clock.advance(std::chrono::milliseconds(50));
            reader.lease.note(7, clock.uninterruptedMilliseconds());
            const std::string report = reader.topic.report();
            clock.advance(std::chrono::milliseconds(heldUpMs));
            coordinator.topic.answer("reader", report);
            CPPUNIT_ASSERT_EQUAL(heldUpMs < 3000, coordinator.lease.isValid());
        }
    }

    // Guards against bytes of another version that end the process or renew a lease.
    void testMalformedKnowledgeIsIgnored()
    {
        Clock clock = Clock::manual();
        Member member(clock);
        for (const std::string &content :
            {std::string(), std::string("text"), std::string("\x94\x07\x00\x00", 4), std::string(5000, '\x93')}) {
            member.topic.acceptReply({clock.uninterruptedMilliseconds()}, content);
            member.topic.answer("other", content);
            member.topic.acceptDataCentreReply("south", {clock.uninterruptedMilliseconds()}, content);
        }
        CPPUNIT_ASSERT(!member.lease.isValid());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFreshnessLease);

} // namespace Fuchsiastep
