#include "Core/enginedirectory.h"

#include <criterion/criterion.h>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

EngineEntry makeEntry(const std::string &id)
{
    return {.id = id, .service = "s", .address = "10.0.0.1:80", .zone = "z", .slots = 4};
}

} // namespace

// Guards against requests to an engine that is draining.
Test(enginedirectory, drainingEngineIsNotUsable)
{
    EngineDirectory directory;
    directory.update(makeEntry("a"));
    directory.update(makeEntry("b"));
    EngineEntry leaving = makeEntry("a");
    leaving.draining = true;
    directory.update(leaving);
    cr_assert_eq(directory.findUsable("s").size(), 1U);
    cr_expect_str_eq(directory.findUsable("s")[0]->entry.id.c_str(), "b");
}

// Guards against load that is lost or counted forever when an engine leaves with open requests.
Test(enginedirectory, engineThatLeftIsForgottenAfterItsLastRequest)
{
    EngineDirectory directory;
    directory.update(makeEntry("a"));
    directory.addLoad("a", {.requests = 1, .tokens = 10});
    directory.remove("a");
    cr_assert_not_null(directory.find("a"));
    cr_expect_not(directory.find("a")->usable);
    directory.removeLoad("a", {.requests = 1, .tokens = 10});
    cr_expect_null(directory.find("a"));
}

// Guards against avoiding a restarted engine because of failures of its previous incarnation.
Test(enginedirectory, newIncarnationResetsFailures)
{
    EngineDirectory directory;
    const Timestamp now {1h};
    EngineEntry entry = makeEntry("a");
    entry.incarnation = 1;
    directory.update(entry);
    directory.recordConnectFailure("a", now);
    cr_expect_gt(directory.find("a")->avoidUntil, now);
    entry.incarnation = 2;
    directory.update(entry);
    cr_expect_leq(directory.find("a")->avoidUntil, now);
}
