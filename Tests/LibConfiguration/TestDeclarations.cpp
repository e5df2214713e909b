#include <Support/SampleConfiguration.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace Fuchsiastep {

class TestDeclarations : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDeclarations);
    CPPUNIT_TEST(testEveryErrorNamesFileObjectAndField);
    CPPUNIT_TEST(testWrittenObjectsAreReadBack);
    CPPUNIT_TEST(testChangesLeadToTheDeclaredSet);
    CPPUNIT_TEST(testDirectoryIsReadAsOneSet);
    CPPUNIT_TEST_SUITE_END();

    // Guards against declarations that are accepted in part, and errors that do not say where they are.
    void testEveryErrorNamesFileObjectAndField()
    {
        struct Case
        {
            std::string text;
            std::string detail;
        };
        const std::string rules = R"({"selectors":[{"name":"s","service":"a","rules":)";
        const std::vector<Case> cases {
            {R"({"services":[{"name":"a","port":1}]})", "f.json: service/a: $.services[0].port: unknown key"},
            {R"({"service":[]})", "f.json: $.service: unknown key"},
            {R"({"services":{}})", "f.json: $.services: expected an array"},
            {R"({"services":[{"name":"Order"}]})",
                "f.json: service/Order: $.services[0].name: must be 1 to 63 characters of a-z, 0-9, '.' and '-' that begin with a letter "
                "or digit"},
            {R"({"upstreams":[{"id":"u1"}]})", "f.json: upstream/u1: $.upstreams[0].service: missing"},
            {R"({"upstreams":[{"id":"u1","service":"a","labels":{"x":1}}]})",
                "f.json: upstream/u1: $.upstreams[0].labels.x: expected a string"},
            {rules + R"({"timeout_ms":0}}]})", "f.json: selector/s: $.selectors[0].rules.timeout_ms: must be from 1 to 60000"},
            {rules + R"({"timeout_ms":60001}}]})", "f.json: selector/s: $.selectors[0].rules.timeout_ms: must be from 1 to 60000"},
            {rules + R"({"retries":6}}]})", "f.json: selector/s: $.selectors[0].rules.retries: must be from 0 to 5"},
            {rules + R"({"retry":1}}]})", "f.json: selector/s: $.selectors[0].rules.retry: unknown key"},
            {rules + R"({"priority":"urgent"}}]})",
                "f.json: selector/s: $.selectors[0].rules.priority: must be \"low\", \"normal\" or \"high\""},
            {rules + R"({"repeatable_methods":["get"]}}]})",
                "f.json: selector/s: $.selectors[0].rules.repeatable_methods[0]: must be an upper-case HTTP method"},
            {R"({"selectors":[{"name":"s","service":"a","path_prefix":"x"}]})",
                "f.json: selector/s: $.selectors[0].path_prefix: must begin with '/' and have at most 1024 characters without spaces"},
            {R"({"services":[{"name":"a"},{"name":"a"}]})", "f.json: $.services[1]: service/a is also declared at f.json: $.services[0]"},
        };
        for (const Case &item : cases) {
            const Result<Declarations> declarations = Declarations::tryParse(item.text, "f.json");
            CPPUNIT_ASSERT_MESSAGE(item.text, isError(declarations));
            CPPUNIT_ASSERT_EQUAL(item.detail, errorOf(declarations).detail);
        }
    }

    // Guards against objects that change when they are shown and applied again.
    void testWrittenObjectsAreReadBack()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            Random random(seed);
            const Declarations written = Declarations::of(*SampleHistory(random, 20).configurations.back());
            const Result<Declarations> read = Declarations::tryParse(written.toJson().toText(true), "f.json");
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), !isError(read) && valueOf(read).objects() == written.objects());
        }
        const auto minimal = Declarations::tryParse(R"({"selectors":[{"name":"s","service":"a"}]})", "f.json");
        CPPUNIT_ASSERT(std::get<Selector>(valueOf(minimal).objects().begin()->second).rules == RouteRules());
    }

    // Guards against a difference that leaves out a change or contains one too many.
    void testChangesLeadToTheDeclaredSet()
    {
        for (std::uint64_t seed = 1; seed <= 500; ++seed) {
            Random random(seed);
            const SampleHistory history(random, 20);
            const Configuration &from = *history.configurations[random.below(21)];
            const Declarations wanted = Declarations::of(*history.configurations[random.below(21)]);
            std::map<ObjectName, DeclaredObject> objects = Declarations::of(from).objects();
            for (const DeclarationChange &change : wanted.changesFrom(from)) {
                const auto current = objects.find(change.name);
                CPPUNIT_ASSERT_EQUAL(change.action != ChangeAction::Create, current != objects.end());
                CPPUNIT_ASSERT(change.current == (current != objects.end() ? std::optional(current->second) : std::nullopt));
                CPPUNIT_ASSERT(change.current != change.declared);
                objects.erase(change.name);
                if (change.declared) {
                    objects.emplace(change.name, *change.declared);
                }
            }
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), objects == wanted.objects());
        }
    }

    void testDirectoryIsReadAsOneSet()
    {
        std::string folder = (std::filesystem::temp_directory_path() / "fuchsiastep-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(folder.data()) != nullptr);
        std::ofstream(folder + "/b.json") << R"({"selectors":[{"name":"s","service":"a"}]})";
        std::ofstream(folder + "/a.json") << R"({"services":[{"name":"a"}]})";
        std::ofstream(folder + "/notes.txt") << "not read";
        const auto both = Declarations::tryRead(folder);
        const auto one = Declarations::tryRead(folder + "/a.json");
        std::ofstream(folder + "/c.json") << R"({"services":[{"name":"a"}]})";
        const auto duplicate = Declarations::tryRead(folder);
        std::filesystem::remove_all(folder);
        const auto missing = Declarations::tryRead(folder);
        CPPUNIT_ASSERT(!isError(both) && valueOf(both).objects().size() == 2);
        CPPUNIT_ASSERT(!isError(one) && valueOf(one).objects().size() == 1);
        CPPUNIT_ASSERT(isError(duplicate) && errorOf(duplicate).code == ErrorCode::DuplicateObject);
        CPPUNIT_ASSERT(isError(missing) && errorOf(missing).code == ErrorCode::FileUnreadable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDeclarations);

} // namespace Fuchsiastep
