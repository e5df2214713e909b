#include <LibMembership/LibMembership.h>
#include <LibMembership/RingRange.h>
#include <LibWire/LibWire.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Fuchsiastep {

/// Codecs, the table, the hashes and the gossip queue against naive versions.
class TestMemberData : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestMemberData);
    CPPUNIT_TEST(testCodecsRoundTrip);
    CPPUNIT_TEST(testDamagedBytesAreRefused);
    CPPUNIT_TEST(testTableAgreesWithNaive);
    CPPUNIT_TEST(testTombstonesExpire);
    CPPUNIT_TEST(testRendezvousAgreesWithNaive);
    CPPUNIT_TEST(testReadersHaveFastLinks);
    CPPUNIT_TEST(testRangesCoverTheRing);
    CPPUNIT_TEST(testGossipIsBounded);
    CPPUNIT_TEST(testCrashSuspectsAreBounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t Histories = 2000;

    static MemberRecord randomRecord(Random &random, std::size_t members = 6)
    {
        MemberRecord record;
        record.proxyId = "proxy-" + std::to_string(random.below(members));
        record.incarnation = random.below(3);
        record.sequence = random.below(3);
        record.state = static_cast<MemberState>(random.below(memberStateTable().size()));
        record.address = {"127.0.0.1", static_cast<std::uint16_t>(random.below(65536))};
        record.dataCentre = random.chance(0.7) ? "kent-yard" : "mallow";
        record.region = "munster";
        record.linkMbps = static_cast<std::uint32_t>(random.below(1000));
        if (random.chance(0.5)) {
            Endpoint endpoint;
            endpoint.upstreamId = "upstream-" + record.proxyId;
            endpoint.service = "stock-desk";
            endpoint.incarnation = record.incarnation - random.below(record.incarnation + 1);
            endpoint.labels = {{"yard", std::to_string(random.below(9))}};
            endpoint.slots = static_cast<std::uint32_t>(random.below(20));
            endpoint.isDraining = random.chance(0.5);
            record.endpoint = endpoint;
            completeEndpoint(record);
        }
        if (random.chance(0.3)) {
            const bool hasStart = random.chance(0.5);
            record.departed = DepartedUpstream {"upstream-" + std::to_string(random.below(9)),
                hasStart ? std::optional(static_cast<std::int64_t>(random.next() >> 1U)) : std::nullopt,
                random.below(3),
                random.below(3),
                hasStart ? 0 : static_cast<std::int64_t>(random.next() >> 1U)};
        }
        return record;
    }
    static CrashSuspectEntry randomSuspect(Random &random)
    {
        CrashSuspectEntry entry {random.next(), {}};
        for (std::size_t i = 0; i < random.below(CrashSuspectEntry::MaximumCrashes) + 1; ++i) {
            const Duration age = std::chrono::milliseconds(random.below(100000));
            entry.crashes.push_back({random.next(), age, random.chance(0.5), random.chance(0.5)});
        }
        return entry;
    }
    static ProbeCargo randomCargo(Random &random)
    {
        ProbeCargo cargo {"proxy-9", {random.next(), Digest::of(std::to_string(random.next()))}};
        for (std::size_t i = 0; i < random.below(4); ++i) {
            cargo.updates.push_back({randomRecord(random), random.chance(0.5) ? "proxy-3" : ""});
        }
        for (std::size_t i = 0; i < random.below(3); ++i) {
            cargo.crashSuspects.push_back(randomSuspect(random));
        }
        return cargo;
    }
    static ProbeDatagram randomProbe(Random &random)
    {
        switch (random.below(3)) {
        case 0:
            return Ping {randomCargo(random), random.next(), "proxy-1"};
        case 1:
            return PingRequest {randomCargo(random), random.next(), "proxy-1", {"127.0.0.2", 65535}};
        default:
            return Ack {randomCargo(random), random.next(), "proxy-1"};
        }
    }

    // Guards against fields that the compact encoding loses.
    void testCodecsRoundTrip()
    {
        for (std::uint64_t seed = 1; seed <= Histories; ++seed) {
            Random random(seed);
            const std::string label = "seed " + std::to_string(seed);
            const ProbeDatagram probe = randomProbe(random);
            CPPUNIT_ASSERT_MESSAGE(label, valueOf(tryDecodeProbe(encodeProbe(probe))) == probe);
            const std::vector<CrashSuspectEntry> suspects {randomSuspect(random), randomSuspect(random)};
            CPPUNIT_ASSERT_MESSAGE(label, valueOf(tryDecodeCrashSuspects(encodeCrashSuspects(suspects))) == suspects);
            MemberSync sync {MemberSyncKind::Exchange, {}};
            for (std::size_t i = 0; i < 20; ++i) {
                sync.records.push_back(randomRecord(random));
            }
            std::vector<MemberRecord> joined;
            for (const std::string &part : encodeMemberSync(sync, 500)) {
                CPPUNIT_ASSERT_MESSAGE(label, part.size() <= 500);
                const MemberSync content = valueOf(tryDecodeMemberSync(part));
                joined.insert(joined.end(), content.records.begin(), content.records.end());
            }
            CPPUNIT_ASSERT_MESSAGE(label, joined == sync.records);
        }
    }

    // Guards against a crash or an allocation without bound on bytes from a faulty sender.
    void testDamagedBytesAreRefused()
    {
        for (std::uint64_t seed = 1; seed <= Histories; ++seed) {
            Random random(seed);
            std::string bytes = encodeProbe(randomProbe(random));
            for (std::size_t length = 0; length < bytes.size(); length += 7) {
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), isError(tryDecodeProbe(bytes.substr(0, length))));
            }
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
            (void)tryDecodeProbe(bytes);
            (void)tryDecodeMemberSync(bytes);
            std::string suspects = encodeCrashSuspects({randomSuspect(random)});
            for (std::size_t length = 0; length < suspects.size(); ++length) {
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), isError(tryDecodeCrashSuspects(suspects.substr(0, length))));
            }
            suspects[random.below(suspects.size())] = static_cast<char>(random.below(256));
            (void)tryDecodeCrashSuspects(suspects);
        }
        CPPUNIT_ASSERT(isError(tryDecodeProbe(std::string(MaximumDatagramBytes + 1, '\x90'))));
        CPPUNIT_ASSERT(isError(tryDecodeMemberSync("\x92\x02\xdd\xff\xff\xff\xff")));
    }

    // The naive table keeps every record and looks for the newest each time.
    void testTableAgreesWithNaive()
    {
        const auto order = [](const MemberRecord &record) {
            return std::tie(record.incarnation, record.sequence, record.state);
        };
        const auto stamp = [](const MemberRecord &record) {
            return std::tie(record.departed->incarnation, record.departed->sequence);
        };
        for (std::uint64_t seed = 1; seed <= Histories; ++seed) {
            Random random(seed);
            const std::string label = "seed " + std::to_string(seed);
            Clock clock = Clock::manual();
            MemberRecord self = randomRecord(random);
            self.proxyId = "self";
            self.dataCentre = "kent-yard";
            self.endpoint.reset();
            self.departed.reset();
            MembershipTable table(self, clock);
            std::map<std::string, MemberRecord> departures;
            std::map<std::string, std::vector<MemberRecord>> history {{"self", {self}}};
            for (int step = 0; step < 30; ++step) {
                const MemberRecord record = randomRecord(random);
                const bool isNewDeparture =
                    record.departed && (!departures.contains(record.proxyId) || stamp(record) > stamp(departures[record.proxyId]));
                if (isNewDeparture) {
                    departures[record.proxyId] = record;
                }
                auto &earlier = history[record.proxyId];
                const bool isNewest =
                    std::all_of(earlier.begin(), earlier.end(), [&](const MemberRecord &other) { return order(record) > order(other); });
                earlier.push_back(record);
                const bool isNews = isNewest || (isNewDeparture && earlier.size() > 1);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(label, isNews, table.merge(record).has_value());
                std::set<std::string> live;
                for (const auto &[id, records] : history) {
                    const auto newest = std::max_element(
                        records.begin(), records.end(), [&](const auto &left, const auto &right) { return order(left) < order(right); });
                    MemberRecord expected = *newest;
                    expected.departed = departures.contains(id) ? departures[id].departed : std::nullopt;
                    CPPUNIT_ASSERT_MESSAGE(label, *table.find(id) == expected);
                    if (newest->state < MemberState::Left && newest->dataCentre == "kent-yard") {
                        live.insert(id);
                    }
                    const MemberRecord *byUpstream = table.findUpstream("upstream-" + id);
                    const bool isUpstream = newest->endpoint && newest->state < MemberState::Left && id != "self";
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(label, isUpstream, byUpstream != nullptr);
                }
                std::set<std::string> found;
                for (const MemberRecord *member : table.liveMembers("kent-yard")) {
                    found.insert(member->proxyId);
                }
                CPPUNIT_ASSERT_MESSAGE(label, found == live);
            }
        }
    }

    // Guards against a table that grows with every member that ever was, and against tombstones that go too early.
    void testTombstonesExpire()
    {
        Clock clock = Clock::manual();
        MemberRecord self;
        self.proxyId = "self";
        MembershipTable table(self, clock, std::chrono::minutes(10));
        MemberRecord left;
        left.proxyId = "gone";
        left.state = MemberState::Left;
        table.merge(left);
        clock.advance(std::chrono::minutes(9));
        table.expireTombstones();
        MemberRecord stale = left;
        stale.state = MemberState::Serving;
        CPPUNIT_ASSERT(!table.merge(stale));
        clock.advance(std::chrono::minutes(2));
        table.expireTombstones();
        CPPUNIT_ASSERT(table.find("gone") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, table.records().size());
    }

    void testRendezvousAgreesWithNaive()
    {
        for (std::uint64_t seed = 1; seed <= Histories; ++seed) {
            Random random(seed);
            Clock clock = Clock::manual();
            MembershipTable table(randomRecord(random), clock);
            for (int i = 0; i < 20; ++i) {
                table.merge(randomRecord(random, 20));
            }
            const std::string role = "role-" + std::to_string(seed);
            std::vector<const MemberRecord *> naive = table.liveMembers("kent-yard");
            std::uint32_t bestMbps = 0;
            for (const MemberRecord *record : naive) {
                bestMbps = std::max(bestMbps, record->linkMbps);
            }
            std::sort(naive.begin(), naive.end(), [&](const MemberRecord *left, const MemberRecord *right) {
                const auto key = [&](const MemberRecord *record) {
                    const bool mayHold = record->state == MemberState::Serving || record->state == MemberState::Draining;
                    return std::tuple(mayHold, record->linkMbps >= bestMbps / 2, rendezvousScore(role, record->proxyId));
                };
                return key(left) > key(right);
            });
            naive.resize(std::min<std::size_t>(naive.size(), 3));
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), naive == rendezvousMembers(table, "kent-yard", role, 3));
        }
    }

    // Guards against readers whose slow links the configuration fills, and against a data centre with too few readers.
    void testReadersHaveFastLinks()
    {
        struct Case
        {
            std::string name;
            std::vector<std::uint32_t> linkMbps;
            std::size_t readers;
            /// Readers with the fastest link.
            std::size_t fastest;
        };
        const std::vector<Case> cases {
            {"not known", {0, 0, 0, 0, 0, 0}, 4, 4},
            {"equal", {5, 5, 5, 5, 5, 5}, 4, 4},
            {"two fast", {100, 100, 5, 5, 5, 5}, 2, 2},
            {"one fast", {100, 5, 5, 5, 5, 5}, 2, 1},
            {"many fast", {100, 100, 100, 100, 100, 5}, 4, 4},
            {"alone", {5}, 1, 1},
        };
        for (const Case &item : cases) {
            Clock clock = Clock::manual();
            std::optional<MembershipTable> table;
            for (std::size_t number = 0; number < item.linkMbps.size(); ++number) {
                MemberRecord record;
                record.proxyId = "proxy-" + std::to_string(number);
                record.dataCentre = "gatton";
                record.state = MemberState::Serving;
                record.linkMbps = item.linkMbps[number];
                if (table) {
                    table->merge(record);
                } else {
                    table.emplace(record, clock);
                }
            }
            const auto readers = readersOf(*table, "gatton", 4);
            const std::uint32_t best = *std::max_element(item.linkMbps.begin(), item.linkMbps.end());
            const auto fastest =
                std::count_if(readers.begin(), readers.end(), [&](const MemberRecord *reader) { return reader->linkMbps == best; });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.readers, readers.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.fastest, static_cast<std::size_t>(fastest));
            for (std::size_t rank = 0; rank + 1 < readers.size(); ++rank) {
                CPPUNIT_ASSERT_MESSAGE(item.name, goesBefore(*table, ReaderRoleName, readers[rank]->proxyId, readers[rank + 1]->proxyId));
            }
        }
    }

    // Guards against a member that is in no range, or in two.
    void testRangesCoverTheRing()
    {
        for (std::uint64_t seed = 1; seed <= Histories; ++seed) {
            Random random(seed);
            Clock clock = Clock::manual();
            MembershipTable table(randomRecord(random), clock);
            for (int i = 0; i < 40; ++i) {
                table.merge(randomRecord(random, 40));
            }
            const std::uint64_t first = random.next();
            const std::uint64_t second = random.next();
            const RingRange range {std::min(first, second), std::max(first, second)};
            const auto parts = splitRange(table, range, 8);
            const std::string label = "seed " + std::to_string(seed);
            const std::uint64_t own = ringPosition(table.self().proxyId);
            const auto partsWith = [&](std::uint64_t position) {
                return std::count_if(parts.begin(), parts.end(), [&](const RingRange &part) { return part.contains(position); });
            };
            CPPUNIT_ASSERT_MESSAGE(label, parts.size() <= 8 && partsWith(own) == 0);
            for (const RingRange &part : parts) {
                CPPUNIT_ASSERT_MESSAGE(label, !peersInRange(table, part).empty());
            }
            // Positions of unknown members, on sides of the own position where peers are known.
            for (int i = 0; i < 20; ++i) {
                const std::uint64_t position = random.next();
                const bool isCut = range.contains(own);
                const RingRange side = !isCut ? range : position < own ? RingRange {range.begin, own - 1} : RingRange {own + 1, range.end};
                const bool isCovered = range.contains(position) && position != own && !peersInRange(table, side).empty();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(label, isCovered ? 1L : 0L, static_cast<long>(partsWith(position)));
            }
        }
    }

    // Guards against news that circulates for ever, and against old news that goes before new.
    void testGossipIsBounded()
    {
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(std::ceil(3 * std::log2(15.0))), gossipTransmissions(14, 3));
        GossipQueue queue;
        Random random(1);
        MemberRecord older = randomRecord(random);
        older.proxyId = "older";
        MemberRecord newer = older;
        newer.proxyId = "newer";
        queue.push(MemberUpdate {older, {}}, 3);
        queue.push(MemberUpdate {newer, {}}, 3);
        for (int round = 0; round < 3; ++round) {
            ProbeCargo one;
            queue.fill(one, encodedSize(MemberUpdate {newer, {}}));
            CPPUNIT_ASSERT_EQUAL(std::string("newer"), one.updates.at(0).record.proxyId);
            CPPUNIT_ASSERT_EQUAL(std::size_t {1}, one.updates.size());
        }
        for (int round = 0; round < 3; ++round) {
            ProbeCargo rest;
            queue.fill(rest, MaximumDatagramBytes);
            CPPUNIT_ASSERT_EQUAL(std::string("older"), rest.updates.at(0).record.proxyId);
        }
        CPPUNIT_ASSERT(queue.isEmpty());
    }

    static CrashSuspectEntry suspect(std::uint64_t fingerprint, std::uint64_t crashId, Duration age, bool wasAlone = false)
    {
        return {fingerprint, {{crashId, age, wasAlone, false}}};
    }

    // Guards against fingerprints without bound, and against an old entry that pushes out a new one.
    void testCrashSuspectsAreBounded()
    {
        Clock clock = Clock::manual();
        CrashSuspectSet set(clock);
        for (std::uint64_t i = 0; i < 2 * CrashSuspectSet::MaximumEntries; ++i) {
            clock.advance(std::chrono::milliseconds(1));
            CPPUNIT_ASSERT(set.merge(suspect(i, 1, std::chrono::milliseconds(0))));
            CPPUNIT_ASSERT(set.size() <= CrashSuspectSet::MaximumEntries);
        }
        CPPUNIT_ASSERT(!set.merge(suspect(0, 1, std::chrono::seconds(5))));
        // The same crash, told again later by a proxy that has seen that the request was alone.
        CPPUNIT_ASSERT(set.merge(suspect(400, 1, std::chrono::milliseconds(7), true)));
        CPPUNIT_ASSERT(!set.merge(suspect(400, 1, std::chrono::milliseconds(7))));
        const CrashSuspectEntry known = *set.find(400);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), known.crashes.size());
        CPPUNIT_ASSERT(known.crashes[0].wasAlone && known.crashes[0].age == std::chrono::milliseconds(111));
        CPPUNIT_ASSERT(set.merge(suspect(400, 2, std::chrono::milliseconds(0))));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), set.find(400)->openCrashes());
        clock.advance(CrashSuspectSet::MaximumAge + std::chrono::seconds(1));
        CPPUNIT_ASSERT(set.merge(suspect(1, 1, std::chrono::milliseconds(0))));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), set.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestMemberData);

} // namespace Fuchsiastep
