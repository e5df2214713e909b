#include <LibPlatform/LibPlatform.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Fuchsiastep {

/// The table as a plain map, with a copy of all of it for each revision.
struct NaiveStore
{
    using Table = std::map<std::string, Row>;
    std::vector<Table> tables {Table()};

    std::vector<Row> read(const std::vector<std::string> &keys, std::uint64_t asOf) const
    {
        std::vector<Row> rows;
        for (const std::string &key : keys) {
            const auto row = tables.at(asOf).find(key);
            rows.push_back(row == tables.at(asOf).end() ? Row {key, 0, {}} : row->second);
        }
        return rows;
    }

    std::vector<Row> scan(const ScanRows &request, std::uint64_t asOf) const
    {
        std::vector<Row> rows;
        for (const auto &[key, row] : tables.at(asOf)) {
            if (key.compare(0, request.prefix.size(), request.prefix) == 0 && key > request.startAfter && rows.size() < request.limit) {
                rows.push_back(row);
            }
        }
        return rows;
    }

    /// The rows in conflict; commits where there is none.
    std::vector<Row> commit(const Transaction &request)
    {
        std::vector<Row> conflicts;
        for (const RowCondition &condition : request.conditions) {
            const Row current = read({condition.key}, tables.size() - 1).at(0);
            if (current.revision != condition.expectedRevision) {
                conflicts.push_back(current);
            }
        }
        if (!conflicts.empty()) {
            return conflicts;
        }
        Table next = tables.back();
        for (const RowWrite &write : request.writes) {
            next.erase(write.key);
            if (write.value) {
                next[write.key] = Row {write.key, tables.size(), *write.value};
            }
        }
        tables.push_back(next);
        return {};
    }
};

class TestPlatformStoreHistories : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlatformStoreHistories);
    CPPUNIT_TEST(testAgreesWithNaiveStore);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t Histories = 3000;
    static constexpr int StepsPerHistory = 60;

    static std::string drawKey(Random &random)
    {
        static const std::vector<std::string> Keys {"a", "a/", "a/1", "a/2", "a/20", "b", "b/1", std::string("b\0x", 3), "\xff"};
        return Keys.at(random.below(Keys.size()));
    }

    static Transaction drawTransaction(Random &random, const NaiveStore &naive)
    {
        Transaction transaction;
        for (std::size_t i = random.below(3); i > 0; --i) {
            const std::string key = drawKey(random);
            const std::uint64_t current = naive.read({key}, naive.tables.size() - 1).at(0).revision;
            transaction.conditions.push_back({key, random.chance(0.8) ? current : random.below(naive.tables.size() + 1)});
        }
        for (std::size_t i = random.below(4); i > 0; --i) {
            const std::string key = drawKey(random);
            const bool isTwice =
                std::any_of(transaction.writes.begin(), transaction.writes.end(), [&](const RowWrite &write) { return write.key == key; });
            if (!isTwice) {
                transaction.writes.push_back({key, random.chance(0.3) ? std::nullopt : std::optional(std::to_string(random.below(9)))});
            }
        }
        return transaction;
    }

    // Guards against a table, an order of scans or a history that differs from the plain model at any step.
    void testAgreesWithNaiveStore()
    {
        for (std::uint64_t seed = 1; seed <= Histories; ++seed) {
            Random random(seed);
            const Clock clock = Clock::manual();
            PlatformStore store(clock);
            NaiveStore naive;
            for (int step = 0; step < StepsPerHistory; ++step) {
                const std::string where = "seed " + std::to_string(seed) + " step " + std::to_string(step);
                const Transaction transaction = drawTransaction(random, naive);
                const std::vector<Row> conflicts = naive.commit(transaction);
                const PlatformResponse response = store.handle(transaction);
                if (conflicts.empty()) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::uint64_t(naive.tables.size() - 1), std::get<Committed>(response).revision);
                } else {
                    CPPUNIT_ASSERT_MESSAGE(where, conflicts == std::get<Conflict>(response).currentRows);
                }
                const std::uint64_t asOf = random.below(naive.tables.size());
                const ScanRows all {"", "", 1000};
                CPPUNIT_ASSERT_MESSAGE(where, naive.scan(all, naive.tables.size() - 1) == std::get<Rows>(store.handle(all)).rows);
                const ScanRows scan {random.chance(0.5) ? drawKey(random) : "",
                    random.chance(0.5) ? drawKey(random) : "",
                    static_cast<std::uint32_t>(random.below(5))};
                CPPUNIT_ASSERT_MESSAGE(where, naive.scan(scan, asOf) == std::get<Rows>(store.handleStale(scan, asOf)).rows);
                const ReadRows read {{drawKey(random), drawKey(random)}};
                CPPUNIT_ASSERT_MESSAGE(where, naive.read(read.keys, asOf) == std::get<Rows>(store.handleStale(read, asOf)).rows);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlatformStoreHistories);

} // namespace Fuchsiastep
