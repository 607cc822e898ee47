#include "Adapter/json.h"
#include "Adapter/objectserviceclient.h"
#include "Core/startrecord.h"
#include "support/testdeployment.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <regex>

using namespace sesame;
using namespace sesame::test;

namespace {

// An expired lease is taken over after its duration plus the clock drift plus one renewal interval:
// 13 s.
constexpr int takeoverMillis = 25'000;
constexpr int startMillis = 15'000;
constexpr int pollMillis = 50;

// The two engines cover the demand for class engine-large. Class engine-small has no engine and
// needs two.
TestDeploymentOptions makeSmallFleet(int capacityLimit)
{
    return {.nodes = 2, .engines = 2, .applications = 1, .capacityLimit = capacityLimit};
}

void enableCapacityControl(TestDeployment &deployment, bool checksFencing = true)
{
    std::string text = readFile(deployment.fleetFile());
    text = std::regex_replace(text, std::regex("capacity_control = false"),
                              "capacity_control = true");
    text = std::regex_replace(text, std::regex("capacity_interval_seconds = \\d+"),
                              "capacity_interval_seconds = 1");
    if (!checksFencing)
        text = std::regex_replace(text, std::regex("fencing = \"checked\""),
                                  "fencing = \"ignored\"");
    writeFile(deployment.fleetFile(), text);
    cr_assert_eq(deployment.apply(deployment.fleetFile(), {"--wait_seconds=10"}), 0);
}

void controlCloud(const TestDeployment &deployment, const std::string &body)
{
    cr_assert_eq(callUrl("POST", deployment.cloudUrl() + "/control", body).status, 200);
}

struct Instance
{
    std::string id;
    std::string zone;
    std::string market;
    bool isOrdered = false; //!< Started by a node and not by the test.
};

std::vector<Instance> listEngines(const TestDeployment &deployment)
{
    const TestReply reply = callUrl("GET", deployment.cloudUrl() + "/v1/instances");
    const JsonPtr body = parseJson(reply.body);
    const json_t *list = json_object_get(body.get(), "instances");
    std::vector<Instance> engines;
    for (std::size_t n = 0; n < json_array_size(list); ++n) {
        const json_t *entry = json_array_get(list, n);
        const std::string id = jsonString(entry, "id");
        if (jsonString(entry, "kind") == "engine")
            engines.push_back({.id = id,
                               .zone = jsonString(entry, "zone"),
                               .market = jsonString(entry, "market"),
                               .isOrdered = id.starts_with("started-")});
    }
    return engines;
}

/*!
    Waits until there are \a count engines, for at most \a timeoutMillis. Returns the highest number
    of engines seen.
*/
std::size_t waitForEngines(const TestDeployment &deployment, std::size_t count, int timeoutMillis)
{
    std::size_t highest = 0;
    for (int waited = 0; waited < timeoutMillis; waited += pollMillis) {
        highest = std::max(highest, listEngines(deployment).size());
        if (highest >= count)
            break;
        sleepMillis(pollMillis);
    }
    return highest;
}

template <typename T>
T readObject(const TestDeployment &deployment, const std::string &key)
{
    const ObjectServiceClient store({.url = deployment.storeUrl()});
    const StoreResult found = store.read(key);
    const auto value = found.status == StoreStatus::Ok ? decodeWire<T>(found.value) : std::nullopt;
    return value.value_or(T());
}

/*!
    Returns the index of the node that holds the capacity lease, or -1 if there is none.
*/
int findHolder(TestDeployment &deployment)
{
    const auto lease = readObject<wire::Lease>(deployment, "leases/capacity");
    const auto &nodes = deployment.nodes();
    for (std::size_t n = 0; n < nodes.size(); ++n) {
        if (lease.holder.starts_with(nodes[n].name + "#"))
            return static_cast<int>(n);
    }
    return -1;
}

bool waitForHolder(TestDeployment &deployment, int wanted, int timeoutMillis)
{
    for (int waited = 0; waited < timeoutMillis; waited += pollMillis) {
        if (findHolder(deployment) == wanted)
            return true;
        sleepMillis(pollMillis);
    }
    return false;
}

bool waitForModel(const std::string &engineUrl, const std::string &model, int timeoutMillis)
{
    for (int waited = 0; waited < timeoutMillis; waited += pollMillis) {
        const JsonPtr body = parseJson(callUrl("GET", engineUrl + "/v1/load").body);
        const json_t *models = json_object_get(body.get(), "models");
        for (std::size_t n = 0; n < json_array_size(models); ++n) {
            if (model == json_string_value(json_array_get(models, n)))
                return true;
        }
        sleepMillis(pollMillis);
    }
    return false;
}

int orderUnload(const std::string &engineUrl, const std::string &model, std::int64_t fencing)
{
    return callUrl("POST", engineUrl + "/v1/orders",
                   R"({"order":"unload_model","argument":")" + model + R"(","fencing":)"
                           + std::to_string(fencing) + "}")
            .status;
}

/*!
    Freezes the lease holder and waits until the other node has taken the lease over. Returns the
    index of the frozen node.
*/
std::size_t freezeHolder(TestDeployment &deployment)
{
    const int holder = findHolder(deployment);
    cr_assert_geq(holder, 0);
    deployment.processes().signal(deployment.nodes()[static_cast<std::size_t>(holder)].pid,
                                  SIGSTOP);
    cr_assert(waitForHolder(deployment, 1 - holder, takeoverMillis));
    return static_cast<std::size_t>(holder);
}

/*!
    Freezes the lease holder, sends an order with its old fencing number after the takeover, and
    checks that the order is refused or its effect is undone.
*/
void checkLateOrder(bool checksFencing)
{
    const std::string model = "fibre-check";
    TestDeploymentOptions options = makeSmallFleet(2);
    options.engineArguments = {"--models=loft-assessment",
                               checksFencing ? "--fencing=checked" : "--fencing=ignored"};
    TestDeployment deployment(options);
    enableCapacityControl(deployment, checksFencing);
    for (const auto &engine : deployment.engines())
        cr_assert(waitForModel(engine.url, model, startMillis), "not loaded on %s",
                  engine.id.c_str());
    const std::string record = checksFencing ? "desired/models-checked" : "desired/models-ignored";
    const auto oldNumber = readObject<wire::DesiredStates>(deployment, record).fencing;
    cr_assert_gt(oldNumber, 0);
    const std::size_t frozen = freezeHolder(deployment);
    // The new holder sends one order per target; for engines that ignore fencing numbers it first
    // waits 1.5 s.
    sleepMillis(4000);
    cr_assert_gt(readObject<wire::DesiredStates>(deployment, record).fencing, oldNumber);
    const std::string url = deployment.engines()[0].url;
    const int status = orderUnload(url, model, oldNumber);
    cr_expect_eq(status, checksFencing ? 409 : 200, "%d", status);
    // Twice the reconciliation interval, to allow for a busy machine.
    cr_expect(waitForModel(url, model, 2000));
    deployment.processes().signal(deployment.nodes()[frozen].pid, SIGCONT);
    sleepMillis(3000);
    cr_expect_eq(findHolder(deployment), static_cast<int>(1 - frozen));
    cr_expect(waitForModel(url, model, pollMillis));
}

/*!
    Sends the start orders of \a entries again, like a lease holder that was paused before sending
    them.
*/
void repeatStarts(const TestDeployment &deployment, const std::vector<wire::DesiredEntry> &entries)
{
    for (const wire::DesiredEntry &entry : entries) {
        const std::string order = R"({"client_token":")" + entry.clientToken
                + R"(","class":"engine-small","zone":"ayutthaya","market":"on_demand"})";
        cr_expect_eq(callUrl("POST", deployment.cloudUrl() + "/v1/instances", order).status, 200);
    }
}

} // namespace

// Guards against instances that are started although the fleet file disables capacity control.
Test(capacitycontroller, startsNothingWhileControlIsOff)
{
    TestDeployment deployment(makeSmallFleet(24));
    cr_expect_eq(waitForEngines(deployment, 3, 5000), 2);
    cr_expect_eq(findHolder(deployment), -1);
}

// Guards against starts beyond the capacity limit when two nodes compete for the lease, and when a
// frozen holder resumes and its start orders arrive after another node has taken the lease over.
Test(capacitycontroller, frozenHolderStartsNothingBeyondLimit)
{
    TestDeployment deployment(makeSmallFleet(3));
    enableCapacityControl(deployment);
    cr_expect_eq(waitForEngines(deployment, 3, startMillis), 3);
    cr_expect_eq(waitForEngines(deployment, 4, 3000), 3);
    // While starts are refused, the slot of the holder remains available for the next start.
    controlCloud(deployment, R"({"refuse_starts":true})");
    for (const Instance &engine : listEngines(deployment)) {
        if (engine.isOrdered)
            callUrl("DELETE", deployment.cloudUrl() + "/v1/instances?id=" + engine.id);
    }
    sleepMillis(3000);
    const auto entries = readObject<wire::DesiredStates>(deployment, "desired/capacity").entries;
    cr_expect_eq(entries.size(), 1);
    const std::size_t frozen = freezeHolder(deployment);
    controlCloud(deployment, R"({"refuse_starts":false})");
    repeatStarts(deployment, entries);
    deployment.processes().signal(deployment.nodes()[frozen].pid, SIGCONT);
    cr_expect_eq(waitForEngines(deployment, 3, startMillis), 3);
    cr_expect_eq(waitForEngines(deployment, 4, 5000), 3);
    cr_expect_eq(findHolder(deployment), static_cast<int>(1 - frozen));
}

// Guards against a second instance for a start order whose reply was lost.
Test(capacitycontroller, lostAnswerStartsOneInstance)
{
    TestDeployment deployment(makeSmallFleet(24));
    controlCloud(deployment, R"({"lose_answers":2})");
    enableCapacityControl(deployment);
    cr_expect_eq(waitForEngines(deployment, 4, startMillis), 4);
    cr_expect_eq(waitForEngines(deployment, 5, 6000), 4);
    for (const auto &entry :
         readObject<wire::DesiredStates>(deployment, "desired/capacity").entries)
        cr_expect(entry.state.starts_with("listed"), "%s", entry.state.c_str());
}

// Guards against a plan that waits for a zone or market that refuses starts.
Test(capacitycontroller, refusedStartsFallBack)
{
    TestDeployment deployment(makeSmallFleet(24));
    controlCloud(deployment, R"({"refuse_zone":"pathum-a","refuse_market":"reclaimable"})");
    enableCapacityControl(deployment);
    cr_expect_eq(waitForEngines(deployment, 4, startMillis), 4);
    for (const Instance &engine : listEngines(deployment)) {
        if (!engine.isOrdered)
            continue;
        cr_expect_eq(engine.market, "on_demand");
        cr_expect_neq(engine.zone, "pathum-a");
    }
}

// Guards against a late order of a previous lease holder that takes effect on an engine that checks
// fencing numbers.
Test(capacitycontroller, checkedEngineRefusesOldNumber)
{
    checkLateOrder(true);
}

// Guards against a late order whose effect is not undone on an engine that ignores fencing numbers.
Test(capacitycontroller, lateOrderIsUndoneWhereFencingIsIgnored)
{
    checkLateOrder(false);
}
