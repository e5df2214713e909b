#include <LibConfiguration/LibConfiguration.h>
#include <LibConfiguration/ObjectValidation.h>
#include <platform/AnnouncementCodec.h>
#include <platform/CallCodec.h>
#include <platform/DocumentCodec.h>
#include <platform/RolloutCodec.h>
#include <platform/StoreCodec.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <limits>
#include <map>
#include <vector>

namespace Fuchsiastep {

using namespace PlatformAdapter;

class TestPlatformCodecs : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlatformCodecs);
    CPPUNIT_TEST(testHeartbeats);
    CPPUNIT_TEST(testDocuments);
    CPPUNIT_TEST(testTenants);
    CPPUNIT_TEST(testRollouts);
    CPPUNIT_TEST(testValuesWithoutAnUpperBound);
    CPPUNIT_TEST(testWeightsKeepTheirRatios);
    CPPUNIT_TEST(testLongDeadlines);
    CPPUNIT_TEST(testStatusesTellTheTruth);
    CPPUNIT_TEST(testUpstreamRequest);
    CPPUNIT_TEST(testAnswersOfOtherRequests);
    CPPUNIT_TEST(testStoreCalls);
    CPPUNIT_TEST(testStoreAnswers);
    CPPUNIT_TEST_SUITE_END();

    static UpstreamSettings upstream()
    {
        UpstreamSettings settings;
        settings.address = SocketAddress {"10.0.0.9", 8080};
        settings.service = "desk";
        return settings;
    }

    static ControlMessage control(const std::string &path, const std::string &body)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = path;
        request.body = body;
        return readControl(request, upstream());
    }

    // Guards against heartbeats of other writers that put an upstream into service.
    void testHeartbeats()
    {
        const std::string info = R"("info":{"service":"desk","version":"v1","zone":"z","maxConcurrency":6})";
        const std::string status = R"("status":{"state":"ready","sequence":4,"coldLeftMs":2500})";
        const std::string address = R"("address":"10.0.0.9:8080")";
        const ControlMessage good = control("/-/instances/i-7/heartbeat", '{' + address + ",\"born\":77," + info + ',' + status + '}');
        const auto &announcement = std::get<UpstreamAnnouncement>(good);
        CPPUNIT_ASSERT_EQUAL(std::string("i-7"), announcement.upstreamId);
        CPPUNIT_ASSERT_EQUAL(std::string("desk"), announcement.service);
        CPPUNIT_ASSERT(announcement.slots == 6 && announcement.ageMs == 7500 && !announcement.isDraining);
        CPPUNIT_ASSERT(announcement.lifetime == (UpstreamLifetime {77, 4}));
        const std::vector<std::string> bad {
            "",
            "[]",
            "{",
            '{' + info + ',' + status + '}',
            '{' + address + ',' + status + '}',
            '{' + address + ',' + info + '}',
            R"({"address":"10.0.0.8:8080",)" + info + ',' + status + '}',
            R"({"address":7,)" + info + ',' + status + '}',
            '{' + address + ',' + info + R"(,"status":{"state":"resting","sequence":4,"coldLeftMs":0}})",
            '{' + address + ',' + info + R"(,"status":{"state":"ready","sequence":"4","coldLeftMs":0}})",
            '{' + address + R"(,"info":{"service":"desk","version":"v1","zone":"z","maxConcurrency":0},)" + status + '}',
            '{' + address + ",\"born\":1.5," + info + ',' + status + '}',
            '{' + address + ",\"born\":99999999999999999999," + info + ',' + status + '}',
            '{' + address + ",\"born\":1e400," + info + ',' + status + '}',
            R"({"address":"10.0.0.9:73616",)" + info + ',' + status + '}',
            R"({"address":"10.0.0.9:-1",)" + info + ',' + status + '}',
            '{' + address + R"(,"info":{"service":"desk","version":"v1","zone":"z","maxConcurrency":4294967302},)" + status + '}',
            '{' + address + R"(,"more":)" + std::string(200'000, '[') + std::string(200'000, ']') + ',' + info + ',' + status + '}',
            "/*\"*/" + std::string(200'000, '['),
        };
        for (const std::string &body : bad) {
            CPPUNIT_ASSERT_MESSAGE(body.substr(0, 200), std::holds_alternative<Error>(control("/-/instances/i-7/heartbeat", body)));
        }
        // Guards against an upstream that is not taken because it has more slots than a proxy uses.
        const std::string large = R"("info":{"service":"desk","version":"v1","zone":"z","maxConcurrency":4294967295})";
        const ControlMessage wide = control("/-/instances/i-7/heartbeat", '{' + address + ',' + large + ',' + status + '}');
        CPPUNIT_ASSERT(std::holds_alternative<UpstreamAnnouncement>(wide));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(10'000), std::get<UpstreamAnnouncement>(wide).slots);
        const ControlMessage left = control("/-/instances/i-7/deregister", "");
        CPPUNIT_ASSERT_EQUAL(std::string("i-7"), std::get<UpstreamDeparture>(left).upstreamId);
        CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(control("/v1/operator/drain", "")));
    }

    static std::string document(const std::string &routes)
    {
        return R"({"version":"r12","services":[{"name":"desk"},{"name":"docs"}],"routes":[)" + routes
            + R"(],"limits":{"maxHeaderBytes":2000,"maxBodyBytes":3000,"headerTimeoutMs":4000,"idleTimeoutMs":5000}})";
    }

    // Guards against tenants that are read with another key, limit or priority, and against documents without any.
    void testTenants()
    {
        const std::string route = R"({"name":"a","host":"h","prefix":"/a/","routeType":"idempotent","timeoutMs":1500,)"
                                  R"("priority":1,"service":"desk","attempts":2,"public":true})";
        const auto withTenants = [&](const std::string &tenants) {
            std::string text = document(route);
            return text.insert(text.size() - 1, ",\"tenants\":" + tenants);
        };
        struct Case
        {
            std::string tenants;
            std::size_t count;
        };
        const std::vector<Case> cases {
            {R"([{"name":"north","apiKeys":["k1","k2","k1"],"priority":0,"ratePerS":1.5,"burst":7},{"name":"south","apiKeys":[]}])", 2},
            {R"({"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[["north",["k1","k2"],0,1.5,7],["south",[],null,0,null]]})",
                2},
            {R"([])", 0},
        };
        for (const Case &item : cases) {
            const Result<ConfigurationDocument> read = tryReadDocument(withTenants(item.tenants));
            CPPUNIT_ASSERT_MESSAGE(item.tenants, !isError(read));
            std::map<std::string, Workspace> workspaces;
            for (const DeclaredObject &object : valueOf(read).objects) {
                if (const auto *workspace = std::get_if<Workspace>(&object)) {
                    workspaces[workspace->name] = *workspace;
                } else if (const auto *selector = std::get_if<Selector>(&object)) {
                    CPPUNIT_ASSERT(selector->rules.isPublic);
                    // The tenant's priority of 0 is more urgent than the route's of 1.
                    CPPUNIT_ASSERT(selector->rules.priority == (item.count > 0 ? RequestPriority::Normal : RequestPriority::High));
                }
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.tenants, item.count, workspaces.size());
            if (item.count > 0) {
                const Workspace &north = workspaces.at("north");
                CPPUNIT_ASSERT(north.keys.size() == 2 && north.milliRequestsPerSecond == 1500 && north.burst == 7);
                CPPUNIT_ASSERT(north.priority == RequestPriority::High);
                CPPUNIT_ASSERT(std::find(north.keys.begin(), north.keys.end(), keyDigest("k2")) != north.keys.end());
                CPPUNIT_ASSERT(!workspaces.at("south").hasQuota() && !workspaces.at("south").priority);
            }
        }
        for (const std::string tenants : {R"([{"apiKeys":["k1"]}])", R"([{"name":"north","priority":-1}])", R"(7)"}) {
            CPPUNIT_ASSERT_MESSAGE(tenants, isError(tryReadDocument(withTenants(tenants))));
        }
    }

    // Guards against an order that is taken for another one, and against a status that belongs to an earlier order.
    void testRollouts()
    {
        const RolloutProtocol protocol = rolloutProtocol();
        const auto order = protocol.tryReadOrder({"op/rollout/desk", 10, R"({"service":"desk","target":"v2","durationS":12})"});
        CPPUNIT_ASSERT(!isError(order));
        CPPUNIT_ASSERT(valueOf(order) == (RolloutOrder {"desk", "v2", std::chrono::seconds(12), 10}));
        for (const std::string text :
            {"", "{}", R"({"service":"desk","target":"v2"})", R"({"service":"desk","target":2,"durationS":12})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, isError(protocol.tryReadOrder({"op/rollout/desk", 10, text})));
        }
        for (const RolloutStatus status : {RolloutStatus::Running, RolloutStatus::Completed, RolloutStatus::RolledBack}) {
            const std::string text = protocol.formatStatus(valueOf(order), status);
            CPPUNIT_ASSERT(protocol.readStatus({"status/rollout/desk", 11, text}, valueOf(order)) == status);
            CPPUNIT_ASSERT(!protocol.readStatus({"status/rollout/desk", 9, text}, valueOf(order)));
            RolloutOrder other = valueOf(order);
            other.target = "v3";
            CPPUNIT_ASSERT(!protocol.readStatus({"status/rollout/desk", 11, text}, other));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"service":"desk","state":"rolled_back","target":"v2"})"),
            protocol.formatStatus(valueOf(order), RolloutStatus::RolledBack));
    }

    // Guards against documents that are taken in part, and against routes that are read with another meaning.
    void testDocuments()
    {
        const std::string plain = R"({"name":"a","host":"h","prefix":"/a/","routeType":"non_idempotent","timeoutMs":1500,)"
                                  R"("targetLatencyMs":800,"priority":1,"service":"desk","attempts":2})";
        const std::string split = R"({"name":"b","host":"h","prefix":"/b/","routeType":"download","timeoutMs":900,"priority":4,)"
                                  R"("weightedServices":[{"service":"desk","weight":90},{"service":"docs","weight":10}],"attempts":1})";
        const Result<ConfigurationDocument> read = tryReadDocument(document(plain + ',' + split));
        CPPUNIT_ASSERT(!isError(read));
        const ConfigurationDocument &content = valueOf(read);
        CPPUNIT_ASSERT(content.version == 12 && content.objects.size() == 5);
        const auto &order = std::get<Selector>(content.objects[2]);
        CPPUNIT_ASSERT(order.host == "h" && order.pathPrefix == "/a/" && order.service == "desk");
        CPPUNIT_ASSERT(order.rules.repeatability == Repeatability::Never && order.rules.maximumRetries == 1);
        CPPUNIT_ASSERT(order.rules.priority == RequestPriority::High && !order.rules.isKeyRequired);
        CPPUNIT_ASSERT(order.rules.targetLatency == std::chrono::milliseconds(800));
        const auto &part = std::get<Selector>(content.objects[4]);
        CPPUNIT_ASSERT(part.name == "b.docs" && part.service == "docs" && part.weight == 10);
        CPPUNIT_ASSERT(part.rules.repeatability == Repeatability::Always && part.rules.priority == RequestPriority::Normal);
        CPPUNIT_ASSERT(content.callerLimits.sizes.headBytes == 2000 && content.callerLimits.idleTime == std::chrono::seconds(5));
        const std::vector<std::string> bad {
            "",
            "{}",
            document(plain).substr(0, 200),
            "/*\"*/" + std::string(200'000, '['),
            document(plain + R"(,{"name":)" + std::string(200'000, '[')),
            document(R"({"name":"a","host":"h","prefix":"/a/","routeType":"idempotent","timeoutMs":1e400,"service":"desk","attempts":1})"),
            document(
                R"({"name":"a","host":"h","prefix":"/a/","routeType":"idempotent","timeoutMs":-18446744073709551617,"service":"desk","attempts":1})"),
            document(R"({"name":"a","host":"h","prefix":"/a/","routeType":"idempotent","timeoutMs":"1","service":"desk","attempts":1})"),
            document(R"({"name":"a","host":"h","prefix":"/a/","routeType":"idempotent","timeoutMs":1,"service":"desk","attempts":0})"),
            document(R"({"name":"a","host":"h","prefix":"/a/","routeType":"idempotent","timeoutMs":1,"service":"desk"})"),
            document(R"({"name":"a","host":"h","prefix":"/a","routeType":"idempotent","timeoutMs":1,"service":"desk","attempts":1})"),
            document(R"({"name":"a","host":"h","prefix":"/a/","routeType":"other","timeoutMs":1,"service":"desk","attempts":1})"),
            document(R"({"name":"a","host":"h","prefix":"/a/","routeType":"idempotent","timeoutMs":-1,"service":"desk","attempts":1})"),
            document(R"({"name":"a","host":"h","prefix":"/a/","routeType":"idempotent","timeoutMs":1,"attempts":1})"),
            document(
                R"({"name":"a","host":"h","prefix":"/a/","routeType":"idempotent","timeoutMs":1,"attempts":1,"weightedServices":[{"service":"desk"}]})"),
        };
        for (const std::string &text : bad) {
            CPPUNIT_ASSERT_MESSAGE(text.substr(0, 200), isError(tryReadDocument(text)));
        }
    }

    /// A route with one field added or replaced.
    static std::string routeWith(const std::string &field, const std::string &value)
    {
        std::map<std::string, std::string> fields {{"name", R"("a")"},
            {"host", R"("h")"},
            {"prefix", R"("/a/")"},
            {"routeType", R"("idempotent")"},
            {"timeoutMs", "1000"},
            {"service", R"("desk")"},
            {"attempts", "2"}};
        fields[field] = value;
        std::string text;
        for (const auto &[name, content] : fields) {
            text.append(text.empty() ? "{" : ",").append("\"" + name + "\":").append(content);
        }
        return text + '}';
    }

    /// The configuration of a process that adopts the document on top of \a held, as it is after a peer has read it.
    static Configuration::Pointer adopt(const ConfigurationDocument &document, const Configuration::Pointer &held)
    {
        const ConfigurationDelta delta = ConfigurationDelta::between(*held, document.objects, document.version);
        const Result<ConfigurationDelta> received = ConfigurationDelta::tryDecode(delta.encode());
        CPPUNIT_ASSERT(!isError(received));
        const Result<Configuration::Pointer> pushed = held->tryApply(valueOf(received));
        CPPUNIT_ASSERT(!isError(pushed));
        const Configuration &content = *valueOf(pushed);
        const Result<Configuration::Pointer> pulled = Configuration::tryDecode(content.encode(), content.version(), content.digest());
        CPPUNIT_ASSERT(!isError(pulled));
        return valueOf(pulled);
    }

    // Guards against a version that is refused whole, with all of its other routes, because one value is larger than the
    // product's own declarations allow: the platform sets no upper bound. A starting and a running process take it, and so
    // do their peers.
    void testValuesWithoutAnUpperBound()
    {
        const std::vector<std::string> values {"60000",
            "60001",
            "90000",
            "3600001",
            "2147483647",
            "2147483648",
            "4294967296",
            "9007199254740993",
            "9223372036854775807",
            "9223372036854775808",
            "18446744073709551617",
            "1e300",
            "1500.5"};
        const Result<ConfigurationDocument> older = tryReadDocument(document(routeWith("timeoutMs", "500")));
        const Configuration::Pointer running = adopt(valueOf(older), Configuration::empty());
        constexpr Duration LongestTime = std::chrono::milliseconds(std::numeric_limits<std::int32_t>::max());
        for (const char *field : {"timeoutMs", "targetLatencyMs", "attempts", "priority"}) {
            for (const std::string &value : values) {
                const std::string where = std::string(field) + ' ' + value;
                std::string text = document(routeWith(field, value));
                text.replace(text.find("r12"), 3, "r13");
                const Result<ConfigurationDocument> read = tryReadDocument(text);
                CPPUNIT_ASSERT_MESSAGE(where + (isError(read) ? ": " + errorOf(read).detail : ""), !isError(read));
                for (const Configuration::Pointer &held : {Configuration::empty(), running}) {
                    const Configuration::Pointer adopted = adopt(valueOf(read), held);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(where, ConfigurationVersion(13), adopted->version());
                    const RouteRules &rules = adopted->selector("a")->rules;
                    CPPUNIT_ASSERT_MESSAGE(where, rules.timeout > Duration(0) && rules.timeout <= LongestTime);
                    CPPUNIT_ASSERT_MESSAGE(where, rules.targetLatency > Duration(0) && rules.targetLatency <= LongestTime);
                }
                const auto &selector = std::get<Selector>(valueOf(read).objects.back());
                const double given = std::min(std::stod(value), std::pow(2, 31) - 1);
                const Duration expected = std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(given)));
                CPPUNIT_ASSERT_MESSAGE(where, std::string(field) != "timeoutMs" || selector.rules.timeout == expected);
                CPPUNIT_ASSERT_MESSAGE(where, std::string(field) != "targetLatencyMs" || selector.rules.targetLatency == expected);
                CPPUNIT_ASSERT_MESSAGE(where, std::string(field) != "attempts" || selector.rules.maximumRetries >= 1500);
                // What is not carried as it was given is named.
                const bool isTime = std::string(field).ends_with("Ms");
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    where, isTime && std::stod(value) > 2147483647, !valueOf(read).limitedFields.empty() && isTime);
            }
        }
        for (const char *field : {"maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"}) {
            for (const std::string &value : values) {
                const std::string where = std::string(field) + ' ' + value;
                std::string text = document(routeWith("attempts", "1"));
                const std::size_t begin = text.find(':', text.find(field)) + 1;
                text.replace(begin, 4, value);
                const Result<ConfigurationDocument> read = tryReadDocument(text);
                CPPUNIT_ASSERT_MESSAGE(where + (isError(read) ? ": " + errorOf(read).detail : ""), !isError(read));
                const HttpServerLimits &limits = valueOf(read).callerLimits;
                CPPUNIT_ASSERT_MESSAGE(where, limits.headTime > Duration(0) && limits.idleTime > Duration(0));
                CPPUNIT_ASSERT_MESSAGE(where, limits.sizes.headBytes > 0 && limits.sizes.bodyBytes > 0);
            }
        }
    }

    // Guards against shares that change where a weight is larger than the product holds, or a fraction.
    void testWeightsKeepTheirRatios()
    {
        struct Case
        {
            std::string first;
            std::string second;
            double ratio;
        };
        const std::vector<Case> cases {
            {"90", "10", 9},
            {"3000000000", "1000000000", 3},
            {"18446744073709551616", "9223372036854775808", 2},
            {"0.75", "0.25", 3},
            {"1e300", "5e299", 2},
            {"0", "7", 0},
        };
        for (const Case &item : cases) {
            const std::string parts =
                R"([{"service":"desk","weight":)" + item.first + R"(},{"service":"docs","weight":)" + item.second + "}]";
            const Result<ConfigurationDocument> read = tryReadDocument(document(routeWith("weightedServices", parts)));
            CPPUNIT_ASSERT_MESSAGE(parts + (isError(read) ? errorOf(read).detail : ""), !isError(read));
            const std::vector<DeclaredObject> &objects = valueOf(read).objects;
            const auto &first = std::get<Selector>(objects.at(objects.size() - 2));
            const auto &second = std::get<Selector>(objects.back());
            CPPUNIT_ASSERT_MESSAGE(parts, first.weight <= MaximumWeight && second.weight <= MaximumWeight);
            CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(parts, item.ratio, static_cast<double>(first.weight) / second.weight, 1e-4);
        }
    }

    // Guards against a caller whose time is cut although its route allows it.
    void testLongDeadlines()
    {
        for (const auto &[text, milliseconds] : std::vector<std::pair<std::string, double>> {
                 {"600001", 600'001}, {"2147483647", 2147483647}, {"4294967296", 2147483647}, {"1e300", 2147483647}}) {
            HttpRequest incoming;
            incoming.method = "GET";
            incoming.target = "/";
            incoming.headers = {{"host", "h"}, {"deadline-ms", text}};
            const Result<Call> call = tryParseCall(incoming, "desk");
            CPPUNIT_ASSERT_MESSAGE(text, !isError(call));
            const Duration expected = std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
            CPPUNIT_ASSERT_MESSAGE(text, valueOf(call).timeLeft == expected);
        }
    }

    // Guards against a status that promises "not run" for a request that may have run.
    void testStatusesTellTheTruth()
    {
        for (const ErrorCodeInfo &info : errorCodeTable()) {
            CallerAnswer answer;
            answer.code = info.code;
            answer.outcome = RequestOutcome::Unknown;
            answer.retryAfter = std::chrono::milliseconds(250);
            const std::uint16_t unknown = formatAnswer(answer).status;
            CPPUNIT_ASSERT_MESSAGE(std::string(info.name), unknown == 502 || unknown == 504);
            answer.outcome = RequestOutcome::NotRun;
            const HttpAnswer notRun = formatAnswer(answer);
            CPPUNIT_ASSERT_MESSAGE(std::string(info.name), notRun.status >= 400 && notRun.status <= 503 && notRun.status != 502);
            const bool isTemporary = notRun.status == 503 || notRun.status == 429;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(info.name), isTemporary, notRun.headers.contains("retry-after"));
        }
        CallerAnswer answer;
        answer.outcome = RequestOutcome::NotRun;
        answer.code = ErrorCode::UpstreamBusy;
        answer.retryAfter = std::chrono::milliseconds(1250);
        CPPUNIT_ASSERT_EQUAL(std::string("1.25"), formatAnswer(answer).headers.at("retry-after"));
    }

    // Guards against a caller that names itself, and against fields of the product that reach upstreams.
    void testUpstreamRequest()
    {
        HttpRequest incoming;
        incoming.method = "GET";
        incoming.target = "/a%2F?b=%41";
        incoming.headers = {{"host", "h:80"}, {"request-id", "r1"}, {"deadline-ms", "2500.5"}, {"caller-service", "forged"}};
        const Result<Call> call = tryParseCall(incoming, "desk");
        CPPUNIT_ASSERT(!isError(call));
        CPPUNIT_ASSERT(valueOf(call).caller == "desk" && valueOf(call).host == "h" && valueOf(call).traceId == "r1");
        CPPUNIT_ASSERT(valueOf(call).timeLeft == Duration(2'500'500));
        RequestFrame frame;
        frame.method = valueOf(call).method;
        frame.path = valueOf(call).path;
        frame.headers = valueOf(call).headers;
        frame.headers["fuchsiastep-priority"] = "high";
        frame.caller = valueOf(call).caller;
        frame.upstreamId = "i-7";
        const HttpMessage message = formatUpstreamRequest(frame, std::chrono::milliseconds(1200));
        CPPUNIT_ASSERT_EQUAL(std::string("/a%2F?b=%41"), message.target);
        const HeaderList expected {
            {"host", "h:80"}, {"request-id", "r1"}, {"deadline-ms", "1200"}, {"caller-service", "desk"}, {"target-instance", "i-7"}};
        CPPUNIT_ASSERT(message.headers == expected);
        incoming.headers["deadline-ms"] = "soon";
        CPPUNIT_ASSERT(isError(tryParseCall(incoming, "desk")));
    }

    // Guards against late answers of earlier requests, and refusals that pass for answers.
    void testAnswersOfOtherRequests()
    {
        RequestFrame request;
        request.traceId = "r1";
        const auto kind = [&](std::uint16_t status, const HeaderList &headers) {
            HttpMessage answer;
            answer.status = status;
            answer.headers = headers;
            return classifyAnswer(request, answer, AnswerOrigin::NewConnection);
        };
        CPPUNIT_ASSERT(kind(200, {{"request-id", "r1"}}) == UpstreamAnswerKind::Answer);
        CPPUNIT_ASSERT(kind(200, {{"request-id", "r0"}}) == UpstreamAnswerKind::Foreign);
        CPPUNIT_ASSERT(kind(503, {{"request-id", "r1"}, {"not-executed", "1"}}) == UpstreamAnswerKind::Refusal);
        CPPUNIT_ASSERT(kind(421, {}) == UpstreamAnswerKind::Refusal);
        CPPUNIT_ASSERT(kind(503, {{"request-id", "r1"}}) == UpstreamAnswerKind::Answer);
        CPPUNIT_ASSERT(kind(500, {}) == UpstreamAnswerKind::Answer);
    }

    // Guards against rows that are written to one place and read from another.
    void testStoreCalls()
    {
        struct Case
        {
            std::string name;
            PlatformRequest request;
            std::string method;
            std::string path;
        };
        const std::vector<Case> cases {
            {"row", ReadRows {{"op/config"}}, "GET", "/-/rows-get?table=op&part=&from=config&target=config%00&limit=1"},
            {"row without table", ReadRows {{"head"}}, "GET", "/-/rows-get?table=fuchsiastep&part=&from=head&target=head%00&limit=1"},
            {"scan of a table", ScanRows {"contact/", {}, 1000}, "GET", "/-/rows-get?table=contact&part=&limit=500"},
            {"scan goes on",
                ScanRows {"contact/a", "contact/ab", 10},
                "GET",
                "/-/rows-get?table=contact&part=&from=ab%00&target=b&limit=10"},
            {"watch", WatchRows {"op/config", 7, std::chrono::seconds(20)}, "GET", "/-/rows-feed?table=op&after=7&waitMs=20000"},
            {"object", GetObject {"snapshot/1"}, "GET", "/-/blob-get/snapshot%2F1"},
        };
        for (const Case &item : cases) {
            const PlatformHttpRequest http = storeProtocol().encode(item.request);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.method, http.method);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.path, http.path);
        }
        const PlatformHttpRequest transaction =
            storeProtocol().encode(Transaction {{{"contact/a", 3}}, {{"contact/a", "node-1"}, {"contact/b", std::nullopt}}});
        CPPUNIT_ASSERT_EQUAL(std::string("/-/rows-tx"), transaction.path);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"expect":[{"key":"a","part":"","rowVersion":3,"table":"contact"}],)"
                                         R"("puts":[{"key":"a","part":"","table":"contact","value":"bm9kZS0x"}],)"
                                         R"("remove":[{"key":"b","part":"","table":"contact"}]})"),
            transaction.body);
    }

    // Guards against an answer whose effect is taken for certain though it is not, or the other way round.
    void testStoreAnswers()
    {
        const std::string row = R"({"table":"op","part":"","key":"config","value":"bm9kZS0x","rowVersion":412})";
        const std::string body = "{\"rows\":[" + row + "],\"hasMore\":false,\"rowVersion\":530,\"nowMs\":1}";
        const auto decode = [](const PlatformRequest &request, unsigned status, const std::string &text) {
            return storeProtocol().tryDecode(request, status, text);
        };
        const auto rows = decode(ReadRows {{"op/config"}}, 200, body);
        CPPUNIT_ASSERT(std::get<Rows>(valueOf(rows)).rows.at(0) == (Row {"op/config", 412, "node-1"}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(530), std::get<Rows>(valueOf(rows)).revision);
        const auto absent = decode(ReadRows {{"op/config"}}, 200, R"({"rows":[],"rowVersion":5})");
        CPPUNIT_ASSERT(std::get<Rows>(valueOf(absent)).rows.at(0) == (Row {"op/config", 0, {}}));
        const auto changes = decode(WatchRows {"op/config", 1, {}},
            200,
            "{\"rows\":[" + row + R"(,{"table":"op","part":"","key":"old","tombstone":true}],"rowVersion":531})");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), std::get<RowsChanged>(valueOf(changes)).rows.size());
        // Guards against one odd row that keeps all others of the table from being read.
        const std::vector<std::string> oddRows {
            "7",
            "null",
            R"({"table":"op","key":"odd"})",
            R"({"table":"op","key":7,"value":"","rowVersion":5})",
            R"({"table":"op","key":"odd","value":{"a":[[]]},"rowVersion":5})",
            R"({"table":"op","key":"odd","value":"","rowVersion":99999999999999999999})",
            R"({"table":"op","key":"odd","value":"","rowVersion":-1})",
            R"({"table":"op","key":"odd","value":"","rowVersion":5,"tombstone":"yes"})",
        };
        for (const std::string &odd : oddRows) {
            std::string text = "{\"rows\":[";
            text.append(odd).append(",").append(row).append("],\"rowVersion\":531}");
            const auto read = decode(WatchRows {"op/config", 1, {}}, 200, text);
            CPPUNIT_ASSERT_MESSAGE(odd, !isError(read));
            const std::vector<Row> &found = std::get<RowsChanged>(valueOf(read)).rows;
            CPPUNIT_ASSERT_MESSAGE(odd, found.size() == 1 && found[0].value == "node-1");
        }
        CPPUNIT_ASSERT(std::holds_alternative<HistoryGone>(valueOf(decode(WatchRows {"op/config", 1, {}}, 410, ""))));
        CPPUNIT_ASSERT(std::holds_alternative<Conflict>(valueOf(decode(Transaction {}, 412, body))));
        for (const unsigned status : {429U, 503U}) {
            const auto refused = decode(Transaction {}, status, "");
            CPPUNIT_ASSERT(std::get<PlatformFailure>(valueOf(refused)).error.code == ErrorCode::PlatformUnavailable);
        }
        // The client takes what cannot be read after a write as an unknown outcome.
        CPPUNIT_ASSERT(isError(decode(Transaction {}, 500, "")));
        CPPUNIT_ASSERT(isError(decode(ReadRows {{"op/config"}}, 200, "{")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlatformCodecs);

} // namespace Fuchsiastep
