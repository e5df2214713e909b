#include <LibProxy/IngressBudget.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Fuchsiastep {

class TestIngressBudget : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestIngressBudget);
    CPPUNIT_TEST(testLargestIsGivenUpFirst);
    CPPUNIT_TEST(testSmallRequestKeepsItsPlace);
    CPPUNIT_TEST_SUITE_END();

    static TimePoint at(int seconds)
    {
        return TimePoint(std::chrono::seconds(seconds));
    }

    /// Guards against a budget that gives up a request which is not the cause, or one too many.
    void testLargestIsGivenUpFirst()
    {
        struct Case
        {
            std::string name;
            std::vector<std::pair<std::uint64_t, TimePoint>> held;
            std::optional<std::uint64_t> excess;
        };
        const std::vector<Case> cases {
            {"nothing", {}, std::nullopt},
            {"within the limit", {{40, at(1)}, {60, at(1)}}, std::nullopt},
            {"the largest", {{40, at(1)}, {61, at(2)}, {5, at(0)}}, 1},
            {"the one that waits longest", {{50, at(2)}, {50, at(1)}, {50, at(3)}}, 1},
            {"one alone", {{101, at(1)}}, 0},
        };
        for (const Case &item : cases) {
            IngressBudget budget(100);
            for (std::size_t index = 0; index < item.held.size(); ++index) {
                budget.update({0, index}, item.held[index].first, item.held[index].second);
            }
            const std::optional<IngressKey> excess = budget.excess();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.excess.has_value(), excess.has_value());
            CPPUNIT_ASSERT_MESSAGE(item.name, !excess || excess->connection == *item.excess);
        }
    }

    /// Guards against counts that grow with each change of a connection, and against ports with a budget each.
    void testSmallRequestKeepsItsPlace()
    {
        IngressBudget budget(1000);
        budget.update({0, 1}, 10, at(1));
        for (std::uint64_t step = 1; step <= 300; ++step) {
            budget.update({1, step}, 900, at(2));
            while (const auto excess = budget.excess()) {
                CPPUNIT_ASSERT(*excess != (IngressKey {0, 1}));
                budget.remove(*excess);
            }
            CPPUNIT_ASSERT(budget.heldBytes() <= 1000);
        }
        budget.update({0, 1}, 0, at(3));
        budget.remove({1, 300});
        budget.remove({1, 299});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), budget.heldBytes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestIngressBudget);

} // namespace Fuchsiastep
