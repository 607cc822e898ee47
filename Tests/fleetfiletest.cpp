#include "Core/sesamecore.h"
#include "support/fleetfiles.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace sesame;

namespace {

struct Replacement
{
    const char *from; //!< Text of the valid file that is replaced.
    const char *to;
    const char *key;
    ResultCode code = ResultCode::InvalidSettings;
};

std::vector<SettingsError> parseEditedFile(const Replacement &replacement)
{
    std::string text = makeFleetFile(10);
    const std::size_t position = text.find(replacement.from);
    cr_assert(position != std::string::npos, "the valid file has no %s", replacement.from);
    text.replace(position, std::string(replacement.from).size(), replacement.to);
    std::vector<SettingsError> errors;
    cr_expect_not(parseFleetFile(text, "f.toml", errors).has_value(), "%s", replacement.to);
    return errors;
}

std::vector<SettingsError> parseException(std::string_view key, std::string_view scope,
                                          std::string_view value, std::string_view reason)
{
    std::string exception = "[[exception]]\nkey = \"";
    exception.append(key).append("\"\nscope = \"").append(scope).append("\"\nvalue = ");
    exception.append(value).append("\nreason = \"").append(reason).append("\"\n");
    std::vector<SettingsError> errors;
    parseFleetFile(makeFleetFile(10, "", exception), "f.toml", errors);
    return errors;
}

const std::string validNode = R"(node = "n"
instance = "i"
zone = "north"
caller_address = "127.0.0.1:1001"
peer_address = "127.0.0.1:1002"
operator_address = "127.0.0.1:1003"
object_service_url = "http://127.0.0.1:1"
cloud_url = "http://127.0.0.1:2/"
peer_key = "0123456789abcdef"
token_key = "fedcba9876543210"
)";

} // namespace

// Guards against example files that the program rejects.
Test(fleetfile, examplesAreValid)
{
    for (const char *path : {"examples/nunkapok.toml", "examples/mimefest.toml"}) {
        std::vector<SettingsError> errors;
        const auto config = parseFleetFile(readRepositoryFile(path), path, errors);
        for (const SettingsError &error : errors)
            cr_log_error("%s", error.format().c_str());
        cr_assert(config.has_value());
        cr_expect_eq(config->zones.size(), 4);
        cr_expect_eq(config->accounts.size(), 5);
        cr_expect_eq(config->models.size(), 3);
        cr_expect_eq(config->routes.size(), 2);
        cr_expect_eq(config->exceptions.size(), 1);
    }
    std::vector<SettingsError> errors;
    cr_expect(parseNodeSettings(readRepositoryFile("examples/node.toml"), "node.toml", errors));
}

// Guards against settings that are read into the wrong member or with the wrong unit.
Test(fleetfile, settingsAreReadIntoTheirMembers)
{
    std::vector<SettingsError> errors;
    const auto config = parseFleetFile(readRepositoryFile("examples/nunkapok.toml"),
                                       "nunkapok.toml", errors);
    cr_assert(config.has_value());
    cr_expect_eq(config->defaults.claimRetention, std::chrono::hours(168));
    cr_expect_eq(config->defaults.capacityLimit, 24);
    cr_expect_not(config->defaults.capacityControl);
    cr_expect_eq(config->defaults.capacityInterval, std::chrono::seconds(10));
    cr_expect_eq(config->ranks[0].tokenGapTarget, std::chrono::milliseconds(57));
    cr_expect_eq(config->ranks[2].queueLimit, std::chrono::milliseconds(300'000));
    cr_expect_float_eq(config->ranks[1].floorShare, 0.1, 1e-9);
    cr_expect(config->routes[0].statusLookup == "/status/{key}");
    cr_expect_not(config->routes[0].idempotent);
    cr_expect(config->backendClasses[0].fencing == Fencing::Checked);
    cr_expect(config->backendClasses[2].kind == BackendKind::Service);
    cr_expect_eq(config->accounts[3].ranks.size(), 2);
}

// Guards against a check that is missing, reports the wrong key, or is skipped after another error.
Test(fleetfile, eachErrorIsReportedWithItsKey)
{
    const Replacement replacements[] = {
            {"name = \"test\"", "name = 3", "fleet.name"},
            {"\"south\"]", "\"north\"]", "fleet.zones"},
            {"entry_ttl_seconds = 10", "entry_ttl_seconds = 0", "defaults.entry_ttl_seconds"},
            {"entry_ttl_seconds = 10", "entry_ttl = 10", "defaults.entry_ttl"},
            {"entry_ttl_seconds = 10", "retry_budget = nan", "defaults.retry_budget"},
            {"entry_ttl_seconds = 10", "cancel_on_disconnect = 1", "defaults.cancel_on_disconnect"},
            {"capacity_limit = 10", "", "defaults.capacity_limit"},
            {"entry_ttl_seconds = 10", "capacity_control = 1", "defaults.capacity_control"},
            {"entry_ttl_seconds = 10", "capacity_interval_seconds = 0",
             "defaults.capacity_interval_seconds"},
            {"floor_share = 0.1", "floor_share = 0.96", "ranks"},
            {"[ranks.batch]\nfloor_share = 0.05", "", "ranks.batch"},
            {"kind = \"model_engine\"", "kind = \"engine\"", "backend_class[0].kind"},
            {"fencing = \"ignored\"", "", "backend_class[1].fencing"},
            {"service = \"orders\"\n[[account", "[[account", "backend_class[1].service"},
            {"name = \"orders\"", "name = \"engine\"", "backend_class[1].name"},
            {"key_sha256 = \"0", "key_sha256 = \"G", "account[0].key_sha256"},
            {"ranks = [\"urgent\"]", "ranks = [\"first\"]", "account[0].ranks"},
            {"backend_classes = [\"engine\"]", "backend_classes = [\"e\"]",
             "model[0].backend_classes"},
            {"backend_classes = [\"engine\"]", "backend_classes = [\"orders\"]",
             "model[0].backend_classes"},
            {"prefix = \"/orders\"", "prefix = \"orders\"", "route[0].prefix"},
            {"service = \"orders\"\nrank", "service = \"portal\"\nrank", "route[0].service"},
            {"idempotent = false", "", "route[0].idempotent"},
            {"/status/{key}", "/status/", "route[0].status_lookup"},
    };
    for (const Replacement &replacement : replacements) {
        const std::vector<SettingsError> errors = parseEditedFile(replacement);
        const bool found = std::any_of(errors.begin(), errors.end(), [&](const auto &error) {
            return error.key == replacement.key && error.code == replacement.code && error.line > 0;
        });
        cr_expect(found, "%s: no error for %s", replacement.to, replacement.key);
    }
}

// Guards against a parser that stops at the first error, or reports an error several times.
Test(fleetfile, allErrorsOfAFileAreReported)
{
    std::string text = makeFleetFile(10);
    for (const char *word : {"\"standard\"", "\"orders\"\nrank", "\"checked\""})
        text.replace(text.find(word), 3, "\"?");
    std::vector<SettingsError> errors;
    cr_expect_not(parseFleetFile(text, "f.toml", errors).has_value());
    cr_assert_eq(errors.size(), 3);
    cr_expect(std::is_sorted(errors.begin(), errors.end(), [](const auto &a, const auto &b) {
        return a.line < b.line;
    }));
    cr_expect(errors[0].format()
                      == "f.toml:16: backend_class[0].fencing: found \"?ecked\", allowed: "
                         "\"checked\", "
                         "\"ignored\" (1500 invalid_settings)",
              "%s", errors[0].format().c_str());
}

// Guards against malformed input whose C++ exception leaves the parser or is not reported.
Test(fleetfile, syntaxErrorsAreReportedWithTheirLine)
{
    for (const char *text : {"a = 1\nb =", "a = 1\n[", "a = 1\na = 2", "a = 1\n\xff\xfe"}) {
        std::vector<SettingsError> errors;
        cr_expect_not(parseFleetFile(text, "f.toml", errors).has_value());
        cr_assert_eq(errors.size(), 1);
        cr_expect_geq(errors[0].line, 1);
    }
}

// Guards against accepting exceptions that have no reason, refer to an unknown entry, or lower the
// capacity limit.
Test(fleetfile, exceptionsAreChecked)
{
    using enum ResultCode;
    cr_expect(parseException("defaults.entry_ttl_seconds", "zone:north", "20", "why").empty());
    cr_expect(parseException("model.rank", "model:check", "\"batch\"", "why").empty());
    cr_expect(parseException("defaults.capacity_limit", "fleet", "11", "why").empty());
    const auto blank = parseException("defaults.entry_ttl_seconds", "fleet", "20", "  ");
    cr_assert_eq(blank.size(), 1);
    cr_expect_eq(blank[0].code, ExceptionReasonMissing);
    const auto lower = parseException("defaults.capacity_limit", "fleet", "9", "why");
    cr_assert_eq(lower.size(), 1);
    cr_expect_eq(lower[0].code, CapacityLimitLowered);
    const struct
    {
        const char *key;
        const char *scope;
        const char *value;
        const char *invalidMember;
    } cases[] = {
            {"defaults.entry_ttl", "fleet", "20", "key"},
            {"ttl", "fleet", "20", "key"},
            {"defaults.claim_shards", "fleet", "32", "key"},
            {"defaults.entry_ttl_seconds", "zone:west", "20", "scope"},
            {"defaults.capacity_limit", "zone:north", "20", "scope"},
            {"defaults.capacity_control", "zone:north", "true", "scope"},
            {"defaults.capacity_interval_seconds", "zone:north", "20", "scope"},
            {"account.share", "account:x", "2", "scope"},
            {"route.timeout_ms", "route:/x", "2", "scope"},
            {"defaults.entry_ttl_seconds", "fleet", "1.5", "value"},
            {"route.rank", "route:/orders", "\"first\"", "value"},
            {"ranks.urgent.floor_share", "zone:south", "0.9", "exception"},
    };
    for (const auto &[key, scope, value, invalidMember] : cases) {
        const auto errors = parseException(key, scope, value, "why");
        cr_assert_eq(errors.size(), 1, "%s %s", key, scope);
        cr_expect(errors[0].key.ends_with(invalidMember), "%s", errors[0].format().c_str());
    }
}

// Guards against an exception for one zone that takes effect in another.
Test(fleetfile, exceptionsApplyOnlyInTheirScope)
{
    const std::string exception = "[[exception]]\nkey = \"defaults.entry_ttl_seconds\"\n"
                                  "scope = \"zone:south\"\nvalue = 20\nreason = \"why\"\n";
    std::vector<SettingsError> errors;
    const auto config = parseFleetFile(makeFleetFile(10, "", exception), "f.toml", errors);
    cr_assert(config.has_value());
    cr_expect_eq(applyExceptions(*config, "south").defaults.entryTtl, std::chrono::seconds(20));
    cr_expect_eq(applyExceptions(*config, "north").defaults.entryTtl, std::chrono::seconds(10));
}

// Guards against accepting node settings with which the node could not start.
Test(nodesettingsfile, errorsAreReported)
{
    std::vector<SettingsError> errors;
    const auto settings = parseNodeSettings(validNode, "n.toml", errors);
    cr_assert(settings.has_value());
    cr_expect(settings->cloudUrl == "http://127.0.0.1:2");
    cr_expect_eq(settings->operatorAddress.port, 1003);
    const std::pair<const char *, const char *> replacements[] = {
            {"127.0.0.1:1002", "127.0.0.1:1001"},
            {"127.0.0.1:1002", "localhost:1002"},
            {"127.0.0.1:1002", "127.0.0.1:70000"},
            {"zone =", "zon ="},
            {"0123456789abcdef", "abcdef"},
            {"peer_key = \"0123456789abcdef", "peer_key_file = \"/none"},
            {"http://127.0.0.1:1", "127.0.0.1:1"},
            {"node = \"n\"", "seeds = [\"n\"]"},
            {"node = \"n\"", "log_level = \"loud\""},
            {"zone =", "memory_limit_mb = 119\nzone ="},
            {"zone =", "memory_limit_mb = \"512\"\nzone ="},
    };
    for (const auto &[from, to] : replacements) {
        std::string text = validNode;
        text.replace(text.find(from), std::string(from).size(), to);
        errors.clear();
        cr_expect_not(parseNodeSettings(text, "n.toml", errors).has_value(), "%s", to);
        for (const SettingsError &error : errors)
            cr_expect(error.format().find("abcdef") == std::string::npos,
                      "the message contains a key");
    }
}
