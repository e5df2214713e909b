#include <LibFleet/LibFleet.h>
#include <LibMembership/LibMembership.h>

#include <LibCore/LibCore.h>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>

namespace Fuchsiastep {

namespace {

/// Members with the real decision objects. Frames arrive at once, unless their receiver does not answer.
class Fleet
{
public:
    explicit Fleet(const std::vector<std::string> &dataCentres, int membersEach)
    {
        std::vector<MemberRecord> records;
        for (const std::string &dataCentre : dataCentres) {
            for (int number = 0; number < membersEach; ++number) {
                MemberRecord record;
                record.proxyId = dataCentre + '-' + std::to_string(number);
                record.incarnation = 1;
                record.sequence = 1;
                record.state = MemberState::Serving;
                record.dataCentre = dataCentre;
                records.push_back(record);
            }
        }
        for (const MemberRecord &self : records) {
            Member &member = *m_members.emplace(self.proxyId, std::make_unique<Member>(self, m_clock)).first->second;
            for (const MemberRecord &record : records) {
                member.table.merge(record);
            }
            addTopic(self.proxyId, member);
        }
    }

    void setInUse(bool isInUse)
    {
        m_isInUse = isInUse;
    }
    void silence(const std::string &member)
    {
        m_silent.insert(member);
    }
    void run(Duration time)
    {
        const TimePoint end = m_clock.now() + time;
        while (m_clock.now() < end) {
            m_clock.advance(std::chrono::milliseconds(10));
            for (auto &[id, member] : m_members) {
                if (!m_silent.contains(id) && member->exchange.nextDeadline() <= m_clock.now()) {
                    deliver(id, member->exchange.advance());
                }
            }
        }
    }
    std::string coordinator(const std::string &asSeenBy) const
    {
        for (const auto &[id, member] : m_members) {
            if (member->exchange.isCoordinator() && id != asSeenBy
                && m_members.at(asSeenBy)->table.find(id)->dataCentre == m_members.at(asSeenBy)->table.self().dataCentre) {
                return id;
            }
        }
        return asSeenBy;
    }

    /// Replies that each member accepted: who answered.
    std::map<std::string, std::vector<std::string>> replies;
    /// Data centres of which each member accepted a reply.
    std::map<std::string, std::set<std::string>> dataCentreReplies;
    std::size_t frames = 0;

private:
    struct Member
    {
        Member(const MemberRecord &self, const Clock &clock) : table(self, clock), exchange({}, table, clock)
        { }
        MembershipTable table;
        FleetExchange exchange;
    };

    void addTopic(const std::string &id, Member &member)
    {
        FleetTopicHandlers handlers;
        handlers.topic = FleetTopic::Freshness;
        handlers.isInUse = [this] {
            return m_isInUse;
        };
        handlers.report = [id] {
            return id;
        };
        handlers.answer = [id](const std::string &, std::string_view) {
            return id;
        };
        handlers.acceptReply = [this, id](FleetReportTime, std::string_view content) {
            replies[id].emplace_back(content);
        };
        handlers.answerDataCentre = [id](const std::string &, std::string_view) {
            return id;
        };
        handlers.acceptDataCentreReply = [this, id](const std::string &dataCentre, FleetReportTime, std::string_view) {
            dataCentreReplies[id].insert(dataCentre);
        };
        member.exchange.addTopic(std::move(handlers));
    }
    void deliver(const std::string &sender, const std::vector<FleetExchangeOutput> &outputs)
    {
        for (const FleetExchangeOutput &output : outputs) {
            const auto *send = std::get_if<SendFrame>(&output);
            CPPUNIT_ASSERT(send != nullptr);
            ++frames;
            if (!m_silent.contains(send->peer)) {
                deliver(send->peer, m_members.at(send->peer)->exchange.handle(PeerFrame {sender, send->frame}));
            }
        }
    }

    Clock m_clock = Clock::manual();
    bool m_isInUse = true;
    std::set<std::string> m_silent;
    std::map<std::string, std::unique_ptr<Member>> m_members;
};

} // namespace

class TestFleetExchange : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestFleetExchange);
    CPPUNIT_TEST(testEveryMemberGetsRepliesOfOneCoordinator);
    CPPUNIT_TEST(testNextMemberTakesOver);
    CPPUNIT_TEST(testNothingIsSentWithoutATopicInUse);
    CPPUNIT_TEST(testMessagesGrowWithTheMembers);
    CPPUNIT_TEST(testMalformedSectionsAreRejected);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against members of one data centre that report to different coordinators, and against data centres that do not
    /// exchange anything.
    void testEveryMemberGetsRepliesOfOneCoordinator()
    {
        Fleet fleet({"north", "south", "west"}, 5);
        fleet.run(std::chrono::seconds(3));
        for (const std::string dataCentre : {"north", "south", "west"}) {
            const std::string coordinator = fleet.coordinator(dataCentre + "-0");
            for (int number = 0; number < 5; ++number) {
                const auto &replies = fleet.replies[dataCentre + '-' + std::to_string(number)];
                CPPUNIT_ASSERT(replies.size() >= 5);
                CPPUNIT_ASSERT_EQUAL(std::set<std::string> {coordinator}.size(), std::set(replies.begin(), replies.end()).size());
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.dataCentreReplies[coordinator].size());
        }
    }

    /// Guards against members that wait for a coordinator that is frozen or cut off.
    void testNextMemberTakesOver()
    {
        Fleet fleet({"north"}, 5);
        fleet.run(std::chrono::seconds(2));
        const std::string lost = fleet.coordinator("north-0");
        fleet.silence(lost);
        fleet.replies.clear();
        fleet.run(std::chrono::seconds(2));
        for (int number = 0; number < 5; ++number) {
            const std::string id = "north-" + std::to_string(number);
            if (id != lost) {
                CPPUNIT_ASSERT(!fleet.replies[id].empty());
                CPPUNIT_ASSERT(fleet.replies[id].back() != lost);
            }
        }
    }

    /// Guards against traffic in deployments that use none of the topics.
    void testNothingIsSentWithoutATopicInUse()
    {
        Fleet fleet({"north", "south"}, 3);
        fleet.setInUse(false);
        fleet.run(std::chrono::seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.frames);
    }

    /// Guards against a number of messages that grows with the square of the members.
    void testMessagesGrowWithTheMembers()
    {
        for (const int members : {10, 40}) {
            Fleet fleet({"north", "south"}, members);
            fleet.run(std::chrono::seconds(10));
            // A report and a reply each period.
            CPPUNIT_ASSERT(fleet.frames <= std::size_t(2) * 2 * static_cast<std::size_t>(members) * 21);
        }
    }

    /// Guards against a report of another version that ends the process or goes unnoticed.
    void testMalformedSectionsAreRejected()
    {
        const Clock clock = Clock::manual();
        MemberRecord self;
        self.proxyId = "north-0";
        MembershipTable table(self, clock);
        FleetExchange exchange({}, table, clock);
        for (const std::string &sections : {std::string("\x93\x01", 2), std::string("text"), std::string()}) {
            const auto outputs = exchange.handle(PeerFrame {"north-1", FleetReportFrame {1, false, sections}});
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), outputs.size());
            CPPUNIT_ASSERT(std::holds_alternative<FleetFrameRejected>(outputs.front()));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFleetExchange);

} // namespace Fuchsiastep
