#include <LibConfiguration/LibConfiguration.h>

#include <LibConfiguration/DeclarationJson.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Fuchsiastep {

class TestWorkspaces : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestWorkspaces);
    CPPUNIT_TEST(testObjectsAreReadBack);
    CPPUNIT_TEST(testEncodingOfEarlierObjectsStays);
    CPPUNIT_TEST(testKeysAreFoundAmongMany);
    CPPUNIT_TEST(testKeysFollowChanges);
    CPPUNIT_TEST(testDeclarations);
    CPPUNIT_TEST_SUITE_END();

    static Workspace workspace(const std::string &name, const std::vector<std::string> &keys)
    {
        Workspace result;
        result.name = name;
        for (const std::string &key : keys) {
            result.keys.push_back(keyDigest(key));
        }
        std::sort(result.keys.begin(), result.keys.end(), [](const Digest &left, const Digest &right) { return left.lanes < right.lanes; });
        return result;
    }
    static Configuration::Pointer configuration(const std::vector<DeclaredObject> &objects)
    {
        return valueOf(Configuration::empty()->tryApply(ConfigurationDelta::between(*Configuration::empty(), objects, 1)));
    }

    // Guards against a field that is lost on its way to other proxies.
    void testObjectsAreReadBack()
    {
        Workspace full = workspace("north", {"k1", "k2"});
        full.priority = RequestPriority::Low;
        full.milliRequestsPerSecond = 1500;
        full.burst = 20;
        Selector selector;
        selector.name = "open";
        selector.service = "desk";
        selector.rules.isPublic = true;
        for (const DeclaredObject &object : std::vector<DeclaredObject> {full, workspace("bare", {}), selector}) {
            const auto read = tryDecodeObject(encodeObject(object));
            CPPUNIT_ASSERT(!isError(read) && valueOf(read) == object);
        }
        const Configuration::Pointer whole = configuration({ServiceDeclaration {"desk", {}}, selector, full});
        const auto decoded = Configuration::tryDecode(whole->encode(), 1, whole->digest());
        CPPUNIT_ASSERT(!isError(decoded) && valueOf(decoded)->workspace("north") != nullptr);
        CPPUNIT_ASSERT(*valueOf(decoded)->workspace("north") == full);
    }

    // Guards against digests that change with the version of the program, so that proxies reject each other's deltas.
    void testEncodingOfEarlierObjectsStays()
    {
        Selector selector;
        selector.name = "lookups";
        selector.service = "desk";
        const std::string without = encodeObject(selector);
        selector.rules.isPublic = true;
        // One flag more, and nothing else.
        CPPUNIT_ASSERT_EQUAL(without.size() + 1, encodeObject(selector).size());
    }

    // Guards against a key that leads to another workspace, or to none, where there are many.
    void testKeysAreFoundAmongMany()
    {
        constexpr int Workspaces = 2000;
        constexpr int KeysEach = 5;
        std::vector<DeclaredObject> objects;
        for (int number = 0; number < Workspaces; ++number) {
            std::vector<std::string> keys;
            keys.reserve(KeysEach);
            for (int key = 0; key < KeysEach; ++key) {
                keys.push_back("key-" + std::to_string(number) + '-' + std::to_string(key));
            }
            objects.emplace_back(workspace("workspace-" + std::to_string(number), keys));
        }
        const Configuration::Pointer whole = configuration(objects);
        for (int number = 0; number < Workspaces; ++number) {
            const auto found = whole->workspaceOfKey(keyDigest("key-" + std::to_string(number) + "-3"));
            CPPUNIT_ASSERT(found != nullptr && found->name == "workspace-" + std::to_string(number));
        }
        for (const std::string key : {"", "key-1-5", "key-1-", "KEY-1-1"}) {
            CPPUNIT_ASSERT(whole->workspaceOfKey(keyDigest(key)) == nullptr);
        }
    }

    // Guards against a key that stays valid after it was removed, or moves to another workspace late.
    void testKeysFollowChanges()
    {
        const Configuration::Pointer first = configuration({workspace("north", {"k1", "k2"}), workspace("south", {"k3"})});
        const auto change = [](const Configuration::Pointer &base, std::vector<DeclaredObject> stored, std::vector<ObjectName> removed) {
            return valueOf(base->tryApply(ConfigurationDelta::onTopOf(*base, std::move(stored), std::move(removed))));
        };
        const Configuration::Pointer second = change(first, {workspace("north", {"k2"})}, {});
        CPPUNIT_ASSERT(second->workspaceOfKey(keyDigest("k1")) == nullptr);
        CPPUNIT_ASSERT(second->workspaceOfKey(keyDigest("k2"))->name == "north");
        CPPUNIT_ASSERT(first->workspaceOfKey(keyDigest("k1"))->name == "north");
        const Configuration::Pointer third = change(second, {workspace("south", {"k1", "k3"})}, {{ObjectKind::Workspace, "north"}});
        CPPUNIT_ASSERT(third->workspaceOfKey(keyDigest("k1"))->name == "south");
        CPPUNIT_ASSERT(third->workspaceOfKey(keyDigest("k2")) == nullptr);
        const Configuration::Pointer last = change(third, {}, {{ObjectKind::Workspace, "south"}});
        CPPUNIT_ASSERT(!last->hasWorkspaces());
        CPPUNIT_ASSERT(last->workspaceOfKey(keyDigest("k3")) == nullptr);
    }

    // Guards against declarations whose mistakes go unnoticed, and against keys in messages.
    void testDeclarations()
    {
        const std::string digest = keyDigest("secret").toHex();
        struct Case
        {
            std::string text;
            bool isValid;
        };
        const std::vector<Case> cases {
            {R"({"name":"north","keys":[")" + digest + R"("],"rate_per_second":1.5,"burst":3,"priority":"high"})", true},
            {R"({"name":"north"})", true},
            {R"({"name":"north","keys":["secret"]})", false},
            {R"({"name":"north","keys":[")" + digest + R"(",")" + digest + R"("]})", false},
            {R"({"name":"north","priority":"urgent"})", false},
            {R"({"name":"north","rate_per_second":-1})", false},
            {R"({"name":"North"})", false},
        };
        for (const Case &item : cases) {
            const auto value = JsonValue::tryParse(item.text);
            std::vector<Error> errors;
            const DeclaredObject object = readObject(ObjectKind::Workspace, valueOf(value), "$", errors);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.text, item.isValid, errors.empty());
            for (const Error &error : errors) {
                CPPUNIT_ASSERT_MESSAGE(error.detail, error.detail.find("secret") == std::string::npos);
            }
            if (item.isValid) {
                std::vector<Error> again;
                CPPUNIT_ASSERT(readObject(ObjectKind::Workspace, toJson(object), "$", again) == object && again.empty());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestWorkspaces);

} // namespace Fuchsiastep
