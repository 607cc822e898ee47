#include "platformdocuments.h"
#include "platformrequestformat.h"
#include "platformsettings.h"

#include <criterion/criterion.h>

using namespace sesame;

namespace {

RequestMessage makeRequest()
{
    RequestMessage request;
    request.method(beast::http::verb::post);
    request.target("/p/2f?a=%20");
    request.set("Host", "A.Example:80");
    request.set("Sesameproxy-Attempt-Id", "id-1");
    request.set("Sesameproxy-Deadline-Ms", "1500");
    request.set("Sesameproxy-Token-Usage", "1460,80");
    request.set("Sesameproxy-Prefix-Hash", "5c1e07a2:800, e4402b7d:660");
    request.set("Authorization", "Token secret");
    request.body() = "body";
    return request;
}

constexpr const char *settingsText = R"(
nodeName: "n-1"
zone: "z"
listen: {frontend: "10.1.0.14:8221", readiness: "10.1.0.14:8224", directory: "10.1.0.14:8220"}
internalPorts: [7600, 7615]
bootstrap: true
futureField: {a: 1}
limits: {fileDescriptors: 4100}
bounds: {leaseMs: 2500, reportWindowS: 5, retryBudgetRatio: 0.3}
platform: {address: "10.200.1.7:8225"}
cloud: {address: "10.200.0.35:8225", duties: ["metering"]}
)";

} // namespace

// Guards against misparsed request headers, which lead to a quota charged with wrong token counts
// or to a missed deadline.
Test(platformformat, requestHeadersAreParsed)
{
    const RequestInfo facts = platform::PlatformRequestFormat().readRequest(makeRequest());
    cr_expect_str_eq(facts.id.c_str(), "id-1");
    cr_expect_str_eq(facts.host.c_str(), "a.example");
    cr_expect_str_eq(facts.path.c_str(), "/p/2f");
    cr_expect_str_eq(facts.accountKey.c_str(), "secret");
    cr_expect_eq(facts.deadline->count(), 1500);
    cr_expect_eq(facts.work.tokens(), 1540);
    cr_assert_eq(facts.work.parts.size(), 2U);
    cr_expect_eq(facts.work.parts[1].id, 0xe4402b7dU);
    cr_expect_eq(facts.work.parts[1].tokens, 660);
}

// Guards against forwarding headers that only the system may set, and against forwarding the
// caller's account key to an engine.
Test(platformformat, callersCannotSetSystemHeaders)
{
    RequestMessage request = makeRequest();
    for (const char *name :
         {"Sesameproxy-Tenant", "Sesameproxy-Hold", "Sesameproxy-Pin-Ms", "Kv-From",
          "Sesameproxy-Kv-Backup", "Sesameproxy-Expect-Instance", "Sesameproxy-Request-Priority"})
        request.insert(name, "forged");
    request.insert("sesameproxy-tenant", "forged twice");
    request.set("Connection", "keep-alive, X-Once");
    request.set("X-Once", "1");
    request.set("X-Other", "2");
    const HttpFields fields = platform::PlatformRequestFormat().formatEngineRequestFields(
            request, {.engineId = "i-1", .account = "real", .remainingTime = Milliseconds(700)});
    for (const auto &field : fields)
        cr_expect(toStd(field.value()).find("forged") == std::string_view::npos);
    cr_expect_eq(fields.count("Sesameproxy-Tenant"), 1U);
    cr_expect(fieldValue(fields, "Sesameproxy-Tenant") == "real");
    cr_expect(fieldValue(fields, "Sesameproxy-Expect-Instance") == "i-1");
    cr_expect(fieldValue(fields, "Sesameproxy-Deadline-Ms") == "700");
    cr_expect(fieldValue(fields, "Sesameproxy-Attempt-Id") == "id-1");
    cr_expect(fieldValue(fields, "X-Other") == "2");
    cr_expect_eq(fields.count("X-Once"), 0U);
    cr_expect_eq(fields.count("Authorization"), 0U);
}

// Guards against treating a refused request as executed, and an executed one as refused.
Test(platformformat, notExecutedResponsesAreRecognized)
{
    const platform::PlatformRequestFormat format;
    ResponseHead head;
    head.result(503);
    cr_expect_not(format.readResponse(head).notExecuted);
    head.set("Sesameproxy-Not-Executed", "1");
    cr_expect(format.readResponse(head).notExecuted);
    ResponseHead other;
    other.result(421);
    cr_expect(format.readResponse(other).notExecuted);
}

// Guards against a malformed statement of an engine's load that is taken for a load.
Test(platformformat, statedLoadOfEnginesIsRead)
{
    const platform::PlatformRequestFormat format;
    ResponseHead head;
    cr_expect_not(format.readResponse(head).engineLoad.has_value());
    head.set("Sesameproxy-Instance-Load", "12,3,64");
    std::optional<StatedLoad> load = format.readResponse(head).engineLoad;
    cr_assert(load.has_value());
    cr_expect_eq(load->requests(), 15);
    cr_expect_eq(load->slots, 64);
    cr_expect_not(load->delayPercent.has_value());
    head.set("Sesameproxy-Instance-Load", "12,3,64,250");
    load = format.readResponse(head).engineLoad;
    cr_assert(load.has_value());
    cr_expect_eq(load->requests(), 15);
    cr_expect_eq(load->delayPercent.value_or(0.0), 250.0);
    for (const auto *bad : {"", "12", "12,3", "a,3,64", "12,-3,64", "12,3,64,0", "12,3,64,-5",
                            "12,3,64,nan", "12,3,64,", "12,3,64,100,1", "12,99999999,64"}) {
        head.set("Sesameproxy-Instance-Load", bad);
        cr_expect_not(format.readResponse(head).engineLoad.has_value(), "%s", bad);
    }
}

// Guards against a pause that is not kept, or kept too long, because of how the engine words it.
Test(platformformat, retryTimesOfEnginesAreRead)
{
    const platform::PlatformRequestFormat format;
    struct Case
    {
        std::vector<const char *> values;
        std::optional<std::int64_t> waitMillis;
        bool isUnusable = false;
    };
    const std::vector<Case> cases {{{}, std::nullopt},
                                   {{"2"}, 2000},
                                   {{"0.0305"}, 31},
                                   {{"0"}, 0},
                                   {{"1e300"}, 86'400'000},
                                   {{"-1"}, std::nullopt, true},
                                   {{"inf"}, std::nullopt, true},
                                   {{"nan"}, std::nullopt, true},
                                   {{"soon"}, std::nullopt, true},
                                   {{""}, std::nullopt, true},
                                   {{"Sat, 05 Dec 2026 08:00:00 GMT"}, std::nullopt, true},
                                   {{"1", "3", "2"}, 3000},
                                   {{"x", "1"}, 1000, true}};
    for (std::size_t i = 0; i < cases.size(); ++i) {
        ResponseHead head;
        head.result(503);
        for (const char *value : cases[i].values)
            head.insert("Retry-After", value);
        const RetryTime time = format.readResponse(head).retryAfter;
        cr_expect_eq(time.wait.has_value(), cases[i].waitMillis.has_value(), "case %zu", i);
        if (time.wait && cases[i].waitMillis)
            cr_expect_eq(time.wait->count(), *cases[i].waitMillis, "case %zu", i);
        cr_expect_eq(!time.unusable.empty(), cases[i].isUnusable, "case %zu", i);
    }
}

// Guards against sending requests to an engine that says it is leaving.
Test(platformformat, leavingEnginesAreRecognized)
{
    const platform::PlatformRequestFormat format;
    ResponseHead head;
    cr_expect_not(format.readResponse(head).isLeaving);
    head.set("Server-Leaving", "0");
    cr_expect_not(format.readResponse(head).isLeaving);
    head.set("Server-Leaving", "1");
    cr_expect(format.readResponse(head).isLeaving);
}

// Guards against a stream that is taken up without the attempt that began it.
Test(platformformat, resumedStreamIsRead)
{
    const platform::PlatformRequestFormat format;
    RequestMessage request;
    cr_expect(format.readRequest(request).resumedId.empty());
    request.set("Last-Event-Id", "7");
    request.set("Resumes", "id-1");
    const RequestInfo info = format.readRequest(request);
    cr_expect(info.lastEventId == "7");
    cr_expect(info.resumedId == "id-1");
}

// Guards against treating entries of other writers as engines.
Test(platformformat, invalidEngineEntriesAreRejected)
{
    const char *good = R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,
        "state":"ready","version":"v1","warmupLeftMs":0,"born":17,"sequence":1})";
    const auto entry = platform::readEngine("i-1", parseJson(good).get());
    cr_assert(entry.has_value());
    cr_expect_eq(entry->slots, 4);
    cr_expect_eq(entry->incarnation, 17);
    cr_expect_str_eq(entry->version.c_str(), "v1");
    for (const char *bad :
         {"{}", "[]", R"({"service":"s","address":"a","zone":"z","slots":"4","state":"ready"})",
          R"({"service":"s","address":"a","zone":"z","slots":4,"state":"odd"})",
          R"({"service":3,"address":"a","zone":"z","slots":4,"state":"ready"})"})
        cr_expect_not(platform::readEngine("i", parseJson(bad).get()).has_value(), "%s", bad);
    cr_expect_not(platform::readEngine("i", nullptr).has_value());
}

// Guards against an engine's id from another writer that is empty, adds header fields to requests,
// or is too long for one, which would fail every request to the engine.
Test(platformformat, engineIdsAreHeaderValues)
{
    constexpr const char *entry = R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
                                  R"("state":"ready","sequence":1,"born":1})";
    cr_expect(platform::readEngine("i-1", parseJson(entry).get()).has_value());
    for (const std::string &id : {std::string(), std::string("i\r\nSesameproxy-Tenant: x"),
                                  std::string("i\t1"), std::string(70000, 'i')})
        cr_expect_not(platform::readEngine(id, parseJson(entry).get()).has_value());
}

// Guards against adopting a configuration only partially.
Test(platformformat, configurationIsAcceptedOnlyIfValid)
{
    const char *good = R"({"version":7,"routes":[{"name":"r","hostname":"A.example",
        "pathPrefix":"/p/","routeType":"streaming","timeoutMs":10000,"targetLatencyMs":500,
        "trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}],
        "maxAttempts":2,"streamResume":true,"targetGapMs":400}],
        "services":[{"name":"s","maxConnections":300,"engine":{"kvCapacity":1000},
        "scaling":{"min":1,"max":10,"startupS":4.0,"spotPrice":0.22,"zonePrices":{"z":1.5}}}],
        "limits":{"idleTimeoutMs":15000},
        "tenants":[{"name":"n","apiKeys":["k"],"unit":"tokens","ratePerS":10,"burst":20}]})";
    const auto config = platform::readConfig(parseJson(good).get());
    cr_assert_not_null(config.get());
    const ServingRoute *route = config->findRoute("a.example", "/p/x");
    cr_assert_not_null(route);
    cr_expect(route->isRepeatable());
    cr_expect_eq(route->services.size(), 2U);
    cr_expect_eq(config->findService("s")->memoryTokens, 1000);
    cr_expect_eq(config->findService("s")->scaling->zonePrices.at("z"), 1.5);
    cr_expect(config->findAccount("k")->countsTokens);
    const char *unknownKind = R"({"version":8,"routes":[{"name":"r","hostname":"a",
        "pathPrefix":"/p/","routeType":"other"}],"services":[]})";
    cr_expect_null(platform::readConfig(parseJson(unknownKind).get()).get());
    cr_expect_null(platform::readConfig(parseJson("{}").get()).get());
    cr_expect_null(platform::readConfig(nullptr).get());
}

// Guards against an entry of another writer that replaces the order of a service under another
// name.
Test(platformformat, rolloutOrdersAreNamedByTheirService)
{
    const char *order = R"({"service":"s","target":"v2","durationS":30})";
    cr_expect(platform::readRollout("s", parseJson(order).get()).has_value());
    cr_expect(platform::readRollout("s", parseJson(R"({"target":"v2"})").get()).has_value());
    for (const char *name : {"", "x", "s&x", "s ", "s/status"})
        cr_expect_not(platform::readRollout(name, parseJson(order).get()).has_value(), "%s", name);
}

// Guards against an account whose name adds header fields to requests, or is none, and against such
// an account ending the reading of the others.
Test(platformformat, accountNamesAreHeaderValues)
{
    const char *text = R"({"version":7,"routes":[],"services":[],"tenants":[
        {"name":"a\r\nX: 1","apiKeys":["k1"]},{"apiKeys":["k2"]},{"name":"","apiKeys":["k3"]},7,
        {"name":"b &+#%41","apiKeys":["k4",7,"k5"]}]})";
    const auto config = platform::readConfig(parseJson(text).get());
    cr_assert_not_null(config.get());
    for (const char *key : {"k1", "k2", "k3"})
        cr_expect_null(config->findAccount(key), "%s", key);
    for (const char *key : {"k4", "k5"}) {
        cr_assert_not_null(config->findAccount(key), "%s", key);
        cr_expect_str_eq(config->findAccount(key)->name.c_str(), "b &+#%41");
    }
}

// Guards against a node that fails on an unknown settings field or runs with an invalid one.
Test(platformformat, settingsAreValidated)
{
    std::vector<SettingsError> errors;
    const auto settings = platform::readSettings(settingsText, "boot", errors);
    cr_assert(settings.has_value(), "%s", errors.empty() ? "" : errors[0].format().c_str());
    cr_expect_eq(settings->lease.count(), 2500);
    cr_expect_eq(settings->exchangePort, 7600);
    cr_expect(settings->metersUsage);
    cr_expect_not(settings->scalesEngines);
    cr_expect(settings->isFirstStart);
    std::string wrong = settingsText;
    wrong.replace(wrong.find("10.1.0.14:8221"), 14, "somewhere:8221");
    wrong.replace(wrong.find("4100"), 4, "lots");
    cr_expect_not(platform::readSettings(wrong, "boot", errors).has_value());
    cr_assert_eq(errors.size(), 2U);
    cr_expect_str_eq(errors[0].key.c_str(), "listen.frontend");
    cr_expect_str_eq(errors[1].key.c_str(), "limits.fileDescriptors");
    cr_expect_not(platform::readSettings("a: [", "boot", errors).has_value());
    cr_expect_not(platform::readSettings("", "boot", errors).has_value());
}

// Guards against functions that take effect in a deployment whose settings do not ask for them.
Test(platformformat, contractsSwitchFunctionsOn)
{
    std::vector<SettingsError> errors;
    const auto plain = platform::readSettings(settingsText, "boot", errors);
    cr_expect_not(plain->hasUnevenEngines);
    cr_expect_not(plain->rollout.has_value());
    std::string text = settingsText;
    text.replace(text.find("{leaseMs"), 1, "{exposureShare: 0.2, exposureSlack: 30, ");
    text.replace(text.find("{fileDescriptors"), 1, "{memoryMb: 120, ");
    text += "contracts: [\"base\", \"pool\", \"rollout\"]\n";
    const auto settings = platform::readSettings(text, "boot", errors);
    cr_assert(settings.has_value(), "%s", errors.empty() ? "" : errors[0].format().c_str());
    cr_expect(settings->hasUnevenEngines);
    cr_expect_eq(settings->rollout->exposureShare, 0.2);
    cr_expect_eq(settings->rollout->exposureSlack, 30.0);
    cr_expect_eq(settings->rollout->rollback.count(), 5000);
    cr_expect_eq(settings->memoryLimitBytes, std::size_t {120} << 20U);
}
