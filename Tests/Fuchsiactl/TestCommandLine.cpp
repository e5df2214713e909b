#include <fuchsiactl/CommandLine.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

namespace Fuchsiastep::ControlTool {

class TestCommandLine : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCommandLine);
    CPPUNIT_TEST(testWrongCommandLinesAreRefused);
    CPPUNIT_TEST(testFlagsAndArguments);
    CPPUNIT_TEST(testEnvironmentGivesDefaults);
    CPPUNIT_TEST(testHelpAndVersion);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        unsetenv("FUCHSIASTEP_PROXY");
        setenv("USER", "aoife", 1);
    }

private:
    // Guards against a mistyped command that is run all the same.
    void testWrongCommandLinesAreRefused()
    {
        const std::vector<Arguments> cases {
            {},
            {"aply", "x"},
            {"check"},
            {"check", "a", "b"},
            {"check", "a", "--prune"},
            {"codes", "--colour"},
            {"codes", "-j"},
            {"codes", "--nojson"},
            {"codes", "--json=maybe"},
            {"codes", "--timeout-s"},
            {"codes", "--timeout-s", "0"},
            {"codes", "--timeout-s", "nan"},
            {"codes", "--timeout-s", "5s"},
            {"codes", "--timeout-s=86401"},
            {"status"},
            {"status", "--proxy", "localhost:1"},
            {"status", "--proxy", "127.0.0.1"},
            {"status", "--proxy", "127.0.0.1:0"},
            {"status", "--proxy", "127.0.0.1:1,,127.0.0.1:2"},
            {"apply", "x", "--proxy", "127.0.0.1:1", "--operation", "a_b"},
            {"apply", "x", "--proxy", "127.0.0.1:1", "--operation="},
            {"apply", "x", "--proxy", "127.0.0.1:1", "--operation", std::string(65, 'a')},
            {"audit", "--proxy", "127.0.0.1:1", "--limit", "0"},
            {"audit", "--proxy", "127.0.0.1:1", "--limit", "1001"},
            {"audit", "--proxy", "127.0.0.1:1", "--after", "-1"},
            {"remove", "selector", "--proxy", "127.0.0.1:1"},
            {"label", "service", "x", "--proxy", "127.0.0.1:1"},
        };
        for (const Arguments &words : cases) {
            std::string text;
            for (const std::string &word : words) {
                text += word + ' ';
            }
            const Result<CommandLine> parsed = tryParseCommandLine(words);
            CPPUNIT_ASSERT_MESSAGE(text, isError(parsed));
            CPPUNIT_ASSERT_MESSAGE(text, exitCodeOf(errorOf(parsed)) == ExitCode::Usage);
        }
    }

    // Guards against flags that depend on their place or spelling, and against flags left over from an earlier parse.
    void testFlagsAndArguments()
    {
        const Result<CommandLine> parsed = tryParseCommandLine({"--proxy=127.0.0.1:1,[::1]:2",
            "apply",
            "--timeout_s",
            "1.5",
            "--comment",
            "night orders",
            "--dry-run",
            "--prune",
            "--operator=niamh",
            "--operation",
            "op-1",
            "--wait=true",
            "--",
            "--folder"});
        CPPUNIT_ASSERT_MESSAGE(isError(parsed) ? errorOf(parsed).detail : "", !isError(parsed));
        const auto &command = std::get<VerbCommand>(valueOf(parsed));
        CPPUNIT_ASSERT(command.verb->name == "apply");
        CPPUNIT_ASSERT(command.arguments == Arguments {"--folder"});
        const Options &options = command.options;
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, options.proxies.size());
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:2"), options.proxies[1].toString());
        CPPUNIT_ASSERT(options.timeout == std::chrono::milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::string("night orders"), options.comment);
        CPPUNIT_ASSERT_EQUAL(std::string("niamh"), options.operatorName);
        CPPUNIT_ASSERT(options.isDryRun && options.isPruning && options.isWaiting && !options.isJson);

        const Result<CommandLine> next = tryParseCommandLine({"label", "service", "x", "a=b", "c-", "--proxy", "127.0.0.1:1"});
        CPPUNIT_ASSERT(!isError(next));
        const auto &label = std::get<VerbCommand>(valueOf(next));
        CPPUNIT_ASSERT((label.arguments == Arguments {"service", "x", "a=b", "c-"}));
        CPPUNIT_ASSERT(!label.options.isDryRun && label.options.operation.empty());
        CPPUNIT_ASSERT(label.options.timeout == std::chrono::seconds(30));
    }

    // Guards against an audit trail without a name, and a flag that loses to the environment.
    void testEnvironmentGivesDefaults()
    {
        setenv("FUCHSIASTEP_PROXY", "127.0.0.1:5", 1);
        const Result<CommandLine> parsed = tryParseCommandLine({"remove", "selector", "x"});
        CPPUNIT_ASSERT(!isError(parsed));
        const Options &options = std::get<VerbCommand>(valueOf(parsed)).options;
        CPPUNIT_ASSERT_EQUAL(std::uint16_t {5}, options.proxies.at(0).port);
        CPPUNIT_ASSERT_EQUAL(std::string("aoife"), options.operatorName);
        const Result<CommandLine> other = tryParseCommandLine({"status", "--proxy", "127.0.0.1:6"});
        CPPUNIT_ASSERT_EQUAL(std::uint16_t {6}, std::get<VerbCommand>(valueOf(other)).options.proxies.at(0).port);
        unsetenv("USER");
        CPPUNIT_ASSERT(isError(tryParseCommandLine({"remove", "selector", "x"})));
        CPPUNIT_ASSERT(!isError(tryParseCommandLine({"status"})));
    }

    // Guards against help that misses a verb or a flag.
    void testHelpAndVersion()
    {
        const auto helpOf = [](const Arguments &words) {
            const Result<CommandLine> parsed = tryParseCommandLine(words);
            CPPUNIT_ASSERT(!isError(parsed) && std::holds_alternative<HelpCommand>(valueOf(parsed)));
            return helpText(std::get<HelpCommand>(valueOf(parsed)).verb);
        };
        for (const std::string word : {"check", "apply PATH", "label", "drain", "--proxy", "--timeout-s", "exit codes"}) {
            CPPUNIT_ASSERT_MESSAGE(word, helpOf({"--help"}).find(word) != std::string::npos);
        }
        CPPUNIT_ASSERT(helpOf({"apply", "-h"}).find("--dry-run") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(helpOf({"apply", "--help"}), helpOf({"help", "apply"}));
        CPPUNIT_ASSERT(std::holds_alternative<VersionCommand>(valueOf(tryParseCommandLine({"--version"}))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCommandLine);

} // namespace Fuchsiastep::ControlTool
