#include <LibProxy/CallAuthentication.h>

#include <LibConfiguration/LibConfiguration.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Fuchsiastep {

class TestCallAuthentication : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCallAuthentication);
    CPPUNIT_TEST(testCalls);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a call that runs without a valid key or under another workspace, against a key that reaches an upstream,
    // and against any change for deployments without workspaces.
    void testCalls()
    {
        struct Case
        {
            std::string name;
            bool hasWorkspaces;
            bool isPublic;
            HeaderList headers;
            ErrorCode code;
            HeaderList passedOn;
        };
        const std::vector<Case> cases {
            {"valid key", true, false, {{"key", "k1"}, {"other", "x"}}, ErrorCode::None, {{"workspace", "north"}, {"other", "x"}}},
            {"claimed workspace", true, false, {{"key", "k1"}, {"workspace", "south"}}, ErrorCode::None, {{"workspace", "north"}}},
            {"no key", true, false, {}, ErrorCode::WorkspaceKeyMissing, {}},
            {"no key, claimed workspace", true, false, {{"workspace", "north"}}, ErrorCode::WorkspaceKeyMissing, {}},
            {"unknown key", true, false, {{"key", "k2"}}, ErrorCode::WorkspaceKeyUnknown, {}},
            {"two keys", true, false, {{"key", "k1, k1"}}, ErrorCode::WorkspaceKeyUnknown, {}},
            {"public route", true, true, {{"workspace", "north"}, {"other", "x"}}, ErrorCode::None, {{"other", "x"}}},
            {"public route with a key", true, true, {{"key", "k1"}}, ErrorCode::None, {{"workspace", "north"}}},
            {"public route with an unknown key", true, true, {{"key", "k2"}}, ErrorCode::WorkspaceKeyUnknown, {}},
            {"no workspaces", false, false, {{"key", "k1"}, {"workspace", "x"}}, ErrorCode::None, {{"key", "k1"}, {"workspace", "x"}}},
        };
        Workspace workspace;
        workspace.name = "north";
        workspace.keys = {keyDigest("k1")};
        const Configuration::Pointer with =
            valueOf(Configuration::empty()->tryApply(ConfigurationDelta::between(*Configuration::empty(), {workspace}, 1)));
        for (const Case &item : cases) {
            Call call;
            call.headers = item.headers;
            RouteRules rules;
            rules.isPublic = item.isPublic;
            const auto result =
                tryAuthenticateCall(call, item.hasWorkspaces ? *with : *Configuration::empty(), rules, {"key", "workspace"});
            CPPUNIT_ASSERT_MESSAGE(item.name, (isError(result) ? errorOf(result).code : ErrorCode::None) == item.code);
            CPPUNIT_ASSERT_MESSAGE(item.name, call.headers == item.passedOn);
            CPPUNIT_ASSERT_MESSAGE(item.name, !isError(result) || errorOf(result).detail.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCallAuthentication);

} // namespace Fuchsiastep
