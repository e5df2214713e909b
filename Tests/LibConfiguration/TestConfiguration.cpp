#include <Support/SampleConfiguration.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace Fuchsiastep {

using NaiveObjects = std::map<ObjectName, DeclaredObject>;

static NaiveObjects naiveApply(NaiveObjects objects, const ConfigurationDelta &delta)
{
    for (const ObjectName &name : delta.removed) {
        objects.erase(name);
    }
    for (const DeclaredObject &object : delta.stored) {
        objects.insert_or_assign(nameOf(object), object);
    }
    return objects;
}

static const std::string *serviceOf(const DeclaredObject &object)
{
    if (const auto *upstream = std::get_if<UpstreamLabels>(&object)) {
        return &upstream->service;
    }
    const auto *selector = std::get_if<Selector>(&object);
    return selector != nullptr ? &selector->service : nullptr;
}

static bool naiveHasDanglingReference(const NaiveObjects &objects)
{
    return std::any_of(objects.begin(), objects.end(), [&](const auto &entry) {
        const std::string *service = serviceOf(entry.second);
        return service != nullptr && !objects.contains({ObjectKind::Service, *service});
    });
}

static NaiveObjects objectsOf(const Configuration &configuration)
{
    NaiveObjects objects;
    configuration.forEachObject([&](const DeclaredObject &object) { objects.emplace(nameOf(object), object); });
    return objects;
}

static Digest naiveDigest(const NaiveObjects &objects)
{
    Digest digest;
    for (const auto &entry : objects) {
        digest += Digest::of(encodeObject(entry.second));
    }
    return digest;
}

class TestConfiguration : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestConfiguration);
    CPPUNIT_TEST(testApplyAgreesWithNaiveMap);
    CPPUNIT_TEST(testIndexAgreesWithFullScan);
    CPPUNIT_TEST(testEncodingsSurviveTheRoundTrip);
    CPPUNIT_TEST(testCorruptBytesNeverDecodeToAnotherValue);
    CPPUNIT_TEST(testMergeAgreesWithSingleSteps);
    CPPUNIT_TEST(testApplyAtScaleSharesContent);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a version that is applied in part (I3) or with a dangling reference (I2).
    void testApplyAgreesWithNaiveMap()
    {
        std::size_t refused = 0;
        for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
            Random random(seed);
            SampleConfiguration sample(random);
            Configuration::Pointer configuration = Configuration::empty();
            for (int step = 0; step < 40; ++step) {
                const std::string where = "seed " + std::to_string(seed) + " step " + std::to_string(step);
                const ConfigurationDelta delta = sample.delta(*configuration);
                const NaiveObjects before = objectsOf(*configuration);
                const NaiveObjects wanted = naiveApply(before, delta);
                const Result<Configuration::Pointer> next = configuration->tryApply(delta);
                CPPUNIT_ASSERT_MESSAGE(where, objectsOf(*configuration) == before);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, naiveHasDanglingReference(wanted), isError(next));
                if (isError(next)) {
                    CPPUNIT_ASSERT_MESSAGE(where, errorOf(next).code == ErrorCode::DanglingReference);
                    ++refused;
                    continue;
                }
                configuration = valueOf(next);
                CPPUNIT_ASSERT_MESSAGE(where, objectsOf(*configuration) == wanted);
                CPPUNIT_ASSERT_MESSAGE(where, configuration->digest() == naiveDigest(wanted));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, wanted.size(), configuration->objectCount());
            }
        }
        CPPUNIT_ASSERT(refused > 0);
    }

    // Guards against an index that keeps or misses objects when they move between services.
    void testIndexAgreesWithFullScan()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            Random random(seed);
            const SampleHistory history(random, 30);
            for (const Configuration::Pointer &configuration : history.configurations) {
                std::map<std::string, std::set<ObjectName>> wanted;
                configuration->forEachObject([&](const DeclaredObject &object) {
                    if (const std::string *service = serviceOf(object)) {
                        wanted[*service].insert(nameOf(object));
                    }
                });
                for (int i = 0; i < 5; ++i) {
                    const std::string service = "service-" + std::to_string(i);
                    std::set<ObjectName> found;
                    for (const auto &selector : configuration->selectorsOf(service)) {
                        found.insert({ObjectKind::Selector, selector->name});
                    }
                    for (const auto &upstream : configuration->upstreamLabelsOf(service)) {
                        found.insert({ObjectKind::Upstream, upstream->upstreamId});
                    }
                    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), found == wanted[service]);
                }
            }
        }
    }

    void testEncodingsSurviveTheRoundTrip()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            Random random(seed);
            const SampleHistory history(random, 10);
            const Configuration &last = *history.configurations.back();
            const auto decoded = Configuration::tryDecode(last.encode(), last.version(), last.digest());
            CPPUNIT_ASSERT(!isError(decoded));
            CPPUNIT_ASSERT(objectsOf(*valueOf(decoded)) == objectsOf(last));
            CPPUNIT_ASSERT(valueOf(decoded)->encode() == last.encode());
            for (const ConfigurationDelta &delta : history.deltas) {
                const auto read = ConfigurationDelta::tryDecode(delta.encode());
                CPPUNIT_ASSERT(!isError(read) && valueOf(read) == delta);
            }
        }
    }

    // Guards against a crash or an undetected change when bytes are damaged in transit.
    void testCorruptBytesNeverDecodeToAnotherValue()
    {
        for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
            Random random(seed);
            const SampleHistory history(random, 4);
            const Configuration &last = *history.configurations.back();
            std::string bytes = last.encode();
            bytes[random.below(bytes.size())] ^= static_cast<char>(1 + random.below(255));
            bytes.resize(random.chance(0.2) ? random.below(bytes.size() + 1) : bytes.size());
            const auto decoded = Configuration::tryDecode(bytes, last.version(), last.digest());
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), isError(decoded) || objectsOf(*valueOf(decoded)) == objectsOf(last));
        }
    }

    // Guards against a merged delta that differs from the single ones, or cannot skip an invalid version.
    void testMergeAgreesWithSingleSteps()
    {
        for (std::uint64_t seed = 1; seed <= 500; ++seed) {
            Random random(seed);
            const SampleHistory history(random, 20);
            const std::size_t begin = random.below(20);
            const std::size_t end = begin + 1 + random.below(20 - begin);
            ConfigurationDelta merged = history.deltas[begin];
            for (std::size_t i = begin + 1; i < end; ++i) {
                merged = valueOf(merged.tryMerge(history.deltas[i]));
            }
            const auto applied = history.configurations[begin]->tryApply(merged);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), !isError(applied));
            CPPUNIT_ASSERT(valueOf(applied)->encode() == history.configurations[end]->encode());
        }
    }

    // Guards against a change whose cost grows with the configuration: a change of one object among 29,600
    // must leave every other service untouched, which forEachChangedService finds by shared content.
    void testApplyAtScaleSharesContent()
    {
        constexpr int Services = 1200;
        std::vector<DeclaredObject> objects;
        Digest digest;
        const auto add = [&](DeclaredObject object) {
            digest += digestOf(object);
            objects.push_back(std::move(object));
        };
        for (int i = 0; i < Services; ++i) {
            add(ServiceDeclaration {"service-" + std::to_string(i), {}});
        }
        for (int i = 0; i < 26'000; ++i) {
            add(UpstreamLabels {
                "upstream-" + std::to_string(i), "service-" + std::to_string(i % Services), {{"rack", std::to_string(i % 90)}}});
        }
        for (int i = 0; i < 2400; ++i) {
            Selector selector;
            selector.name = "selector-" + std::to_string(i);
            selector.service = "service-" + std::to_string(i % Services);
            add(std::move(selector));
        }
        const auto built = Configuration::tryBuild(objects, 1, digest);
        CPPUNIT_ASSERT(!isError(built));
        Configuration::Pointer configuration = valueOf(built);
        for (int i = 0; i < 2000; ++i) {
            const UpstreamLabels changed {"upstream-" + std::to_string(i), "service-" + std::to_string(i % Services), {{"rack", "new"}}};
            const auto next = configuration->tryApply(ConfigurationDelta::onTopOf(*configuration, {changed}, {}));
            CPPUNIT_ASSERT(!isError(next));
            std::vector<std::string> services;
            valueOf(next)->forEachChangedService(*configuration, [&](const std::string &service) { services.push_back(service); });
            CPPUNIT_ASSERT(services == std::vector<std::string> {changed.service});
            configuration = valueOf(next);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestConfiguration);

} // namespace Fuchsiastep
