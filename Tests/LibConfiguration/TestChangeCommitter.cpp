#include <Support/FakePlatform.h>
#include <Support/SampleConfiguration.h>
#include <Support/SeededQueue.h>

#include <LibConfiguration/ObjectRow.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace Fuchsiastep {

static const FakePlatform::Faults NoFaults {};
static const FakePlatform::Faults Faults {0.08, 0.15, 0.15};

/// Operators who commit changes through a faulty platform. Every state of the table is checked.
class CommitSimulation
{
public:
    struct Operator
    {
        OperatorChange change;
        ChangeCommitter committer;
        std::optional<ChangeCommitterOutput> outcome;
    };
    struct Message
    {
        std::size_t operatorIndex = 0;
        /// Nothing wakes the committer.
        std::optional<std::variant<PlatformCall, PlatformReply>> content;
    };

    CommitSimulation(std::uint64_t seed, const FakePlatform::Faults &faults)
        : random(seed), platform(random), m_seed(seed), m_queue(clock, random, {}), m_faults(faults)
    { }

    /// Lets every transaction commit whatever its conditions, as a naive committer would.
    void ignoreConditions()
    {
        m_isIgnoringConditions = true;
    }

    std::string where() const
    {
        return "seed " + std::to_string(m_seed);
    }

    /// The configuration that the table's object rows hold, which is checked against the head.
    Configuration::Pointer state() const
    {
        std::vector<DeclaredObject> objects;
        HeadRow head;
        for (const auto &[key, row] : platform.rows()) {
            if (key.starts_with(ObjectKeyPrefix)) {
                objects.push_back(valueOf(ObjectRow::tryDecode(row.value)).object);
            } else if (key == HeadKey) {
                head = valueOf(HeadRow::tryDecode(row.value));
            }
        }
        const auto built = Configuration::tryBuild(objects, head.version, head.digest);
        CPPUNIT_ASSERT_MESSAGE(where() + (isError(built) ? describe(errorOf(built)) : ""), !isError(built));
        return valueOf(built);
    }

    ConfigurationVersion revisionOf(const ObjectName &name) const
    {
        const auto row = platform.rows().find(objectKey(name));
        return row != platform.rows().end() ? valueOf(ObjectRow::tryDecode(row->second.value)).version : 0;
    }

    void submit(
        const std::string &name, const std::string &operationId, std::vector<ObjectChange> changes, const Configuration::Pointer &base)
    {
        const bool isRepeated =
            std::any_of(operators.begin(), operators.end(), [&](const Operator &entry) { return entry.change.operationId == operationId; });
        operators.push_back(
            {{operationId, isRepeated, name, "test", std::move(changes)}, ChangeCommitter({}, clock, random), std::nullopt});
        route(operators.size() - 1, operators.back().committer.handle(SubmitChange {operators.back().change, base}));
    }

    /// Commits without faults, to prepare a state.
    void prepare(std::vector<ObjectChange> changes)
    {
        submit("setup", "setup-" + std::to_string(m_preparations++), std::move(changes), state());
        run();
        CPPUNIT_ASSERT_MESSAGE(where(), std::holds_alternative<ChangeAccepted>(*operators.back().outcome));
        operators.clear();
    }

    void run()
    {
        const bool isFaulty = m_faults.downProbability > 0 && operators.front().change.operatorName != "setup";
        platform.setFaults(isFaulty ? m_faults : NoFaults);
        m_queue.setFaults(isFaulty ? SeededQueue<Message>::Faults {std::chrono::milliseconds(1), std::chrono::milliseconds(3), 0.03, 0.05}
                                   : SeededQueue<Message>::Faults {});
        m_lateProbability = isFaulty ? 0.03 : 0;
        const TimePoint limit = clock.now() + std::chrono::minutes(5);
        while (const auto message = m_queue.next(limit)) {
            deliver(*message);
        }
        for (const Operator &entry : operators) {
            CPPUNIT_ASSERT_MESSAGE(where() + ": no outcome", entry.outcome.has_value());
            checkOutcome(entry);
        }
    }

    const ChangeRefused *refusal(std::size_t index) const
    {
        return std::get_if<ChangeRefused>(&*operators[index].outcome);
    }
    const ChangeAccepted *acceptance(std::size_t index) const
    {
        return std::get_if<ChangeAccepted>(&*operators[index].outcome);
    }

    Clock clock = Clock::manual();
    Random random;
    FakePlatform platform;
    std::deque<Operator> operators;

private:
    void deliver(const Message &message)
    {
        Operator &target = operators[message.operatorIndex];
        if (!message.content) {
            route(message.operatorIndex, target.committer.advance());
        } else if (const auto *call = std::get_if<PlatformCall>(&*message.content)) {
            PlatformRequest request = call->request;
            if (auto *transaction = std::get_if<Transaction>(&request); transaction != nullptr && m_isIgnoringConditions) {
                transaction->conditions.clear();
            }
            const PlatformResponse response = platform.handle(request);
            checkTable();
            send({message.operatorIndex, PlatformReply {call->id, response}});
        } else {
            route(message.operatorIndex, target.committer.handle(std::get<PlatformReply>(*message.content)));
        }
    }

    /// Some messages take effect long after the committer has given up waiting for them.
    void send(Message message)
    {
        if (random.chance(m_lateProbability)) {
            m_queue.schedule(std::move(message), std::chrono::seconds(3) + random.jitter(std::chrono::seconds(3)));
        } else {
            m_queue.send(std::move(message));
        }
    }

    void route(std::size_t index, const ChangeCommitter::Outputs &outputs)
    {
        for (const ChangeCommitterOutput &output : outputs) {
            if (const auto *call = std::get_if<PlatformCall>(&output)) {
                send({index, *call});
                continue;
            }
            CPPUNIT_ASSERT_MESSAGE(where() + ": two outcomes", !operators[index].outcome);
            operators[index].outcome = output;
        }
        if (const auto deadline = operators[index].committer.nextDeadline()) {
            m_queue.schedule({index, std::nullopt}, std::max(Duration(0), *deadline - clock.now()));
        }
    }

    /// Versions only grow, every version has its change, and the whole is valid: checked at every step.
    void checkTable()
    {
        const Configuration::Pointer current = state();
        CPPUNIT_ASSERT_MESSAGE(where(), current->version() >= m_highest);
        m_highest = current->version();
        std::set<std::string> operationIds;
        for (ConfigurationVersion version = 1; version <= m_highest; ++version) {
            const auto row = platform.rows().find(changeKey(version));
            CPPUNIT_ASSERT_MESSAGE(where(), row != platform.rows().end());
            const auto change = ChangeRow::tryDecode(row->second.value, version);
            CPPUNIT_ASSERT_MESSAGE(where(), !isError(change));
            CPPUNIT_ASSERT_MESSAGE(where() + ": committed twice", operationIds.insert(valueOf(change).audit.operationId).second);
        }
    }

    /// "Accepted" is in the audit trail with its version; "refused" is not there at all, unless it says that it does not know.
    void checkOutcome(const Operator &entry)
    {
        std::vector<Row> rows;
        for (const auto &row : platform.rows()) {
            rows.push_back(row.second);
        }
        ConfigurationVersion version = 0;
        for (const AuditEntry &audit : AuditLog::decode(rows).entries) {
            version = audit.operationId == entry.change.operationId ? audit.version : version;
        }
        if (const auto *accepted = std::get_if<ChangeAccepted>(&*entry.outcome)) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where(), version, accepted->version);
            CPPUNIT_ASSERT_MESSAGE(where(), accepted->delta.targetVersion == version && accepted->delta.targetDigest == accepted->digest);
            return;
        }
        const Error &error = std::get<ChangeRefused>(*entry.outcome).error;
        // A submission that certainly had no effect may have been repeated by one that had.
        const bool wasRepeated = std::any_of(operators.begin(), operators.end(), [&](const Operator &other) {
            return other.change.operationId == entry.change.operationId && other.change.isRepeated && !entry.change.isRepeated;
        });
        CPPUNIT_ASSERT_MESSAGE(where() + describe(error), version == 0 || error.code == ErrorCode::ChangeOutcomeUnknown || wasRepeated);
    }

    std::uint64_t m_seed;
    SeededQueue<Message> m_queue;
    FakePlatform::Faults m_faults;
    ConfigurationVersion m_highest = 0;
    int m_preparations = 0;
    bool m_isIgnoringConditions = false;
    double m_lateProbability = 0;
};

static const ObjectName Label {ObjectKind::Upstream, "u1"};

static ObjectChange storeLabel(const std::string &id, const std::string &value, std::optional<ConfigurationVersion> expected)
{
    return {{ObjectKind::Upstream, id}, UpstreamLabels {id, "order-desk", {{"line", value}}}, expected};
}

static ObjectChange storeService(const std::string &name)
{
    return {{ObjectKind::Service, name}, ServiceDeclaration {name, {}}, std::nullopt};
}

static bool isPlatformError(ErrorCode code)
{
    return code == ErrorCode::PlatformUnavailable || code == ErrorCode::PlatformOutcomeUnknown || code == ErrorCode::PlatformConflict
        || code == ErrorCode::ChangeOutcomeUnknown;
}

class TestChangeCommitter : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestChangeCommitter);
    CPPUNIT_TEST(testSameLabelHasOneWinner);
    CPPUNIT_TEST(testLastWriterWinsBreaksTheSameChecks);
    CPPUNIT_TEST(testDifferentLabelsBothSucceed);
    CPPUNIT_TEST(testRemovalIsNamedToTheLoser);
    CPPUNIT_TEST(testChangesAfterTheBaseVersionAreConflicts);
    CPPUNIT_TEST(testSameOperationTwiceIsOneChange);
    CPPUNIT_TEST(testRemovedServiceIsStillNamed);
    CPPUNIT_TEST(testInvalidChangesAreRefused);
    CPPUNIT_TEST(testRandomChangesAgreeWithNaiveReplay);
    CPPUNIT_TEST_SUITE_END();

    // Guards against two operators who both believe that they changed a label (I9).
    void testSameLabelHasOneWinner()
    {
        for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
            const bool isFaulty = seed % 2 == 0;
            CommitSimulation simulation(seed, isFaulty ? Faults : NoFaults);
            simulation.prepare({storeService("order-desk"), storeLabel("u1", "old", 0)});
            const Configuration::Pointer base = simulation.state();
            simulation.submit("ann", "op-a", {storeLabel("u1", "a", 1)}, base);
            simulation.submit("bob", "op-b", {storeLabel("u1", "b", 1)}, base);
            simulation.run();
            int accepted = 0;
            bool isPlatformToBlame = false;
            for (std::size_t i = 0; i < 2; ++i) {
                accepted += simulation.acceptance(i) != nullptr ? 1 : 0;
                const ChangeRefused *refused = simulation.refusal(i);
                if (refused == nullptr || isPlatformError(refused->error.code)) {
                    isPlatformToBlame = isPlatformToBlame || refused != nullptr;
                    continue;
                }
                const std::string winner = simulation.operators[1 - i].change.operatorName;
                CPPUNIT_ASSERT_MESSAGE(simulation.where() + describe(refused->error), refused->error.code == ErrorCode::ChangeConflict);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(simulation.where(), winner, refused->winner);
                CPPUNIT_ASSERT_MESSAGE(simulation.where(), refused->object == Label && refused->currentRevision == 2);
                CPPUNIT_ASSERT_MESSAGE(simulation.where(), refused->currentValue == simulation.operators[1 - i].change.changes[0].value);
            }
            CPPUNIT_ASSERT_MESSAGE(simulation.where(), accepted == 1 || (accepted == 0 && isPlatformToBlame));
            CPPUNIT_ASSERT_MESSAGE(simulation.where(), isFaulty || !isPlatformToBlame);
        }
    }

    // Shows that the checks find the fault they are meant for: under the same seeds the last writer wins where the
    // conditions are ignored.
    void testLastWriterWinsBreaksTheSameChecks()
    {
        int violations = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            CommitSimulation simulation(seed, NoFaults);
            simulation.prepare({storeService("order-desk"), storeLabel("u1", "old", 0)});
            const Configuration::Pointer base = simulation.state();
            simulation.ignoreConditions();
            simulation.submit("ann", "op-a", {storeLabel("u1", "a", 1)}, base);
            simulation.submit("bob", "op-b", {storeLabel("u1", "b", 1)}, base);
            try {
                simulation.run();
            } catch (const CppUnit::Exception &) {
                ++violations;
            }
        }
        CPPUNIT_ASSERT(violations > 0);
    }

    // Guards against refusing a change because an unrelated one came first.
    void testDifferentLabelsBothSucceed()
    {
        for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
            const bool isFaulty = seed % 2 == 0;
            CommitSimulation simulation(seed, isFaulty ? Faults : NoFaults);
            simulation.prepare({storeService("order-desk")});
            const Configuration::Pointer base = simulation.state();
            for (int i = 0; i < 4; ++i) {
                simulation.submit("op" + std::to_string(i), "op-" + std::to_string(i), {storeLabel("u" + std::to_string(i), "x", 0)}, base);
            }
            simulation.run();
            for (std::size_t i = 0; i < 4; ++i) {
                const ChangeRefused *refused = simulation.refusal(i);
                CPPUNIT_ASSERT_MESSAGE(simulation.where() + (refused != nullptr ? describe(refused->error) : ""),
                    refused == nullptr || (isFaulty && isPlatformError(refused->error.code)));
            }
        }
    }

    // Guards against a loser who is not told that, and by whom, the object was removed.
    void testRemovalIsNamedToTheLoser()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            CommitSimulation simulation(seed, NoFaults);
            simulation.prepare({storeService("order-desk"), storeLabel("u1", "old", 0)});
            const Configuration::Pointer base = simulation.state();
            simulation.submit("ann", "op-a", {{Label, std::nullopt, 1}}, base);
            simulation.run();
            for (std::size_t i = 0; i < seed % 4; ++i) {
                simulation.submit("cid", "op-c" + std::to_string(i), {storeLabel("u2", std::to_string(i), std::nullopt)}, base);
                simulation.run();
            }
            simulation.submit("bob", "op-b", {storeLabel("u1", "b", 1)}, simulation.random.chance(0.5) ? base : simulation.state());
            simulation.run();
            const ChangeRefused *refused = simulation.refusal(simulation.operators.size() - 1);
            CPPUNIT_ASSERT_MESSAGE(simulation.where(), refused != nullptr && refused->error.code == ErrorCode::ChangeConflict);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(simulation.where(), std::string("ann"), refused->winner);
            CPPUNIT_ASSERT_MESSAGE(simulation.where(), !refused->currentValue && refused->currentRevision == 0);
        }
    }

    // Guards against overwriting what somebody else did after the version that the operator started from (I9).
    void testChangesAfterTheBaseVersionAreConflicts()
    {
        struct Case
        {
            std::string name;
            std::vector<ObjectChange> others;
            ObjectChange own;
            ErrorCode expected;
        };
        const ObjectChange ownStore {Label, storeLabel("u1", "own", std::nullopt).value, std::nullopt, 2};
        const ObjectChange ownRemoval {Label, std::nullopt, std::nullopt, 2};
        const ObjectChange ownCreation {
            nameOf(*storeLabel("u9", "own", std::nullopt).value), storeLabel("u9", "own", std::nullopt).value, std::nullopt, 2};
        const std::vector<Case> cases {
            {"nothing happened", {}, ownStore, ErrorCode::None},
            {"another object was changed", {storeLabel("u2", "x", std::nullopt)}, ownStore, ErrorCode::None},
            {"the object was changed", {storeLabel("u1", "x", std::nullopt)}, ownStore, ErrorCode::ChangeConflict},
            {"the object was removed", {{Label, std::nullopt, std::nullopt}}, ownStore, ErrorCode::ChangeConflict},
            {"the object was removed, and is to be", {{Label, std::nullopt, std::nullopt}}, ownRemoval, ErrorCode::ChangeConflict},
            {"removal", {storeLabel("u2", "x", std::nullopt)}, ownRemoval, ErrorCode::None},
            {"creation", {storeLabel("u2", "x", std::nullopt)}, ownCreation, ErrorCode::None},
            {"somebody else created it", {storeLabel("u9", "x", std::nullopt)}, ownCreation, ErrorCode::ChangeConflict},
        };
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            for (const Case &item : cases) {
                CommitSimulation simulation(seed, NoFaults);
                simulation.prepare({storeService("order-desk")});
                simulation.prepare({storeLabel("u1", "old", 0)});
                const Configuration::Pointer base = simulation.state();
                for (std::size_t i = 0; i < item.others.size(); ++i) {
                    simulation.submit("ann", "op-a" + std::to_string(i), {item.others[i]}, base);
                    simulation.run();
                }
                const std::size_t last = simulation.operators.size();
                simulation.submit("bob", "op-b", {item.own}, simulation.random.chance(0.5) ? base : simulation.state());
                simulation.run();
                const ChangeRefused *refused = simulation.refusal(last);
                const ErrorCode code = refused != nullptr ? refused->error.code : ErrorCode::None;
                CPPUNIT_ASSERT_MESSAGE(simulation.where() + ": " + item.name, code == item.expected);
                CPPUNIT_ASSERT_MESSAGE(simulation.where() + ": " + item.name, refused == nullptr || refused->winner == "ann");
            }
        }
    }

    // Guards against a second change when an accepted answer is lost and the operator submits again (I9).
    void testSameOperationTwiceIsOneChange()
    {
        for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
            CommitSimulation simulation(seed, Faults);
            simulation.prepare({storeService("order-desk")});
            const Configuration::Pointer base = simulation.state();
            const std::vector<ObjectChange> changes {storeLabel("u1", "a", 0)};
            simulation.submit("ann", "op-a", changes, base);
            simulation.submit("cid", "op-c", {storeLabel("u2", "c", 0)}, base);
            // Through another proxy, at the same time or later.
            if (simulation.random.chance(0.5)) {
                simulation.run();
            }
            simulation.submit("ann", "op-a", changes, simulation.random.chance(0.5) ? base : simulation.state());
            simulation.run();
            const ChangeAccepted *first = simulation.acceptance(0);
            const ChangeAccepted *second = simulation.acceptance(2);
            CPPUNIT_ASSERT_MESSAGE(simulation.where(), first == nullptr || second == nullptr || first->version == second->version);
            for (const std::size_t i : {0, 2}) {
                const ChangeRefused *refused = simulation.refusal(i);
                CPPUNIT_ASSERT_MESSAGE(simulation.where(), refused == nullptr || isPlatformError(refused->error.code));
            }
        }
    }

    // Guards against a removed service that a selector still names (I2), also when the two changes cross.
    void testRemovedServiceIsStillNamed()
    {
        Selector selector;
        selector.name = "night-orders";
        selector.service = "order-desk";
        const ObjectName service {ObjectKind::Service, "order-desk"};
        const ObjectName name {ObjectKind::Selector, selector.name};
        for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
            CommitSimulation simulation(seed, NoFaults);
            simulation.prepare({storeService("order-desk")});
            const Configuration::Pointer base = simulation.state();
            simulation.submit("ann", "op-a", {{service, std::nullopt, 1}}, base);
            simulation.submit("bob", "op-b", {{name, selector, 0}}, base);
            simulation.run();
            const std::size_t loser = simulation.acceptance(0) != nullptr ? 1 : 0;
            const ChangeRefused *refused = simulation.refusal(loser);
            CPPUNIT_ASSERT_MESSAGE(simulation.where(), refused != nullptr && simulation.acceptance(1 - loser) != nullptr);
            CPPUNIT_ASSERT_MESSAGE(simulation.where(), refused->error.code == ErrorCode::DanglingReference);
            CPPUNIT_ASSERT_MESSAGE(refused->error.detail, refused->error.detail.find("selector/night-orders") != std::string::npos);
        }
    }

    void testInvalidChangesAreRefused()
    {
        struct Case
        {
            std::string operationId;
            std::vector<ObjectChange> changes;
            ErrorCode code;
        };
        const ObjectChange invalid {{ObjectKind::Service, "Bad"}, ServiceDeclaration {"Bad", {}}, std::nullopt};
        const std::vector<Case> cases {
            {"op", {}, ErrorCode::ChangeEmpty},
            {"op/1", {storeService("a")}, ErrorCode::OperatorRequestMalformed},
            {"op", {storeService("a"), storeService("a")}, ErrorCode::DuplicateObject},
            {"op", {invalid}, ErrorCode::DeclarationMalformed},
            {"op", {{Label, ServiceDeclaration {"a", {}}, std::nullopt}}, ErrorCode::OperatorRequestMalformed},
            {"op", {{Label, std::nullopt, std::nullopt}}, ErrorCode::ObjectMissing},
            {"op", {{Label, std::nullopt, 7}}, ErrorCode::ChangeConflict},
            {"op", {storeService("order-desk")}, ErrorCode::ChangeEmpty},
        };
        for (const Case &item : cases) {
            CommitSimulation simulation(1, NoFaults);
            simulation.prepare({storeService("order-desk")});
            simulation.submit("ann", item.operationId, item.changes, simulation.state());
            simulation.run();
            CPPUNIT_ASSERT(simulation.refusal(0) != nullptr);
            CPPUNIT_ASSERT_EQUAL(static_cast<int>(item.code), static_cast<int>(simulation.refusal(0)->error.code));
        }
    }

    // Guards against a rebase that loses or repeats a change: the table must hold what a naive replay of the
    // accepted changes in the order of their versions gives.
    void testRandomChangesAgreeWithNaiveReplay()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            CommitSimulation simulation(seed, Faults);
            SampleConfiguration sample(simulation.random);
            simulation.prepare({storeService("service-0"), storeService("service-1"), storeService("service-2")});
            const Configuration::Pointer first = simulation.state();
            Configuration::Pointer base = first;
            for (int round = 0; round < 6; ++round) {
                for (int i = 0; i < 3; ++i) {
                    const ObjectName removed = sample.name();
                    const DeclaredObject stored = sample.object();
                    const bool isAny = simulation.random.chance(0.3);
                    const auto expected = isAny ? std::nullopt : std::optional(simulation.revisionOf(nameOf(stored)));
                    std::vector<ObjectChange> changes {{nameOf(stored), stored, expected}};
                    if (base->object(removed) && removed != nameOf(stored) && simulation.random.chance(0.3)) {
                        changes.push_back({removed, std::nullopt, std::nullopt});
                    }
                    simulation.submit("op", "op-" + std::to_string(round) + '-' + std::to_string(i), changes, base);
                }
                simulation.run();
                base = simulation.random.chance(0.5) ? simulation.state() : base;
            }
            compareWithReplay(simulation, *first);
        }
    }

    static void compareWithReplay(const CommitSimulation &simulation, const Configuration &first)
    {
        std::map<ConfigurationVersion, const OperatorChange *> accepted;
        for (const auto &[key, row] : simulation.platform.rows()) {
            for (const AuditEntry &audit : AuditLog::decode({row}).entries) {
                for (const auto &entry : simulation.operators) {
                    if (entry.change.operationId == audit.operationId) {
                        accepted[audit.version] = &entry.change;
                    }
                }
            }
        }
        std::map<ObjectName, DeclaredObject> objects = Declarations::of(first).objects();
        for (const auto &[version, change] : accepted) {
            for (const ObjectChange &item : change->changes) {
                objects.erase(item.name);
                if (item.value) {
                    objects.emplace(item.name, *item.value);
                }
            }
        }
        CPPUNIT_ASSERT_MESSAGE(simulation.where(), Declarations::of(*simulation.state()).objects() == objects);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestChangeCommitter);

} // namespace Fuchsiastep
