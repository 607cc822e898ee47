// The operator takes the last tenant, and with it the last key, out of the manifest.
#include "casekit.h"

#include "Http/httpcaller.h"

using namespace review;

namespace {

constexpr int nodes = 3;
constexpr int requestsPerNode = 10;
//! Bound in which a manifest is in force, and a second more.
constexpr Millis untilInForce {3000};

struct Answer
{
    std::string id;
    unsigned status = 0;
};

/*!
    Sends an unsafe request with the credentials \a credentials, or none if they are empty.
*/
Answer send(Deployment &deployment, Record &record, int node, const std::string &id,
            const std::string &credentials)
{
    sesame::HttpCaller caller(deployment.context, deployment.entryAddress(node));
    sesame::HttpFields fields;
    fields.set("Host", "app.example");
    fields.set("Sesameproxy-Attempt-Id", id);
    fields.set("Sesameproxy-Deadline-Ms", "2500");
    if (!credentials.empty())
        fields.set("Authorization", "Token " + credentials);
    std::optional<unsigned> status;
    caller.call("POST", "/book/x", fields, "booking " + id, 3s,
                [&](const sesame::CallResponse &answer) {
                    status = answer.status;
                });
    deployment.runUntil(
            [&] {
                return status.has_value();
            },
            4s);
    record.write("client sends %s to node %d with %s: answered %u", id.c_str(), node,
                 credentials.empty() ? "no key" : ("the key " + credentials).c_str(),
                 status.value_or(0));
    return {.id = id, .status = status.value_or(0)};
}

int runCase(Record &record)
{
    Deployment deployment(record,
                          {.nodes = nodes,
                           .routes = {{.prefix = "/book/",
                                       .kind = "unsafe",
                                       .service = "app",
                                       .timeoutMs = 2500,
                                       .targetLatencyMs = 150}},
                           .services = {"app"}});
    for (int i = 0; i < 2; ++i)
        deployment.addEngine({.id = "i-" + std::to_string(i), .service = "app"});
    for (int node = 1; node <= nodes; ++node)
        deployment.startNode(node, true);
    for (int node = 1; node <= nodes; ++node) {
        if (!deployment.runUntil(
                    [&] {
                        return deployment.isReady(node);
                    },
                    15s))
            return CaseFailed;
    }
    deployment.runFor(4s);
    for (int node = 1; node <= nodes; ++node) {
        const std::string n = std::to_string(node);
        if (send(deployment, record, node, "known-" + n, "key-of-the-tenant").status != 200
            || send(deployment, record, node, "unknown-" + n, "never-issued").status != 401)
            return CaseFailed;
    }
    deployment.options.hasTenant = !hasTrouble();
    deployment.putManifest();
    deployment.runFor(untilInForce);
    int runs = 0;
    int others = 0;
    for (int node = 1; node <= nodes; ++node) {
        const std::string n = std::to_string(node);
        for (const auto &[id, credentials] : std::map<std::string, std::string> {
                     {"taken-away-" + n, "key-of-the-tenant"}, {"without-" + n, ""}}) {
            send(deployment, record, node, id, credentials);
            for (const auto &engine : deployment.engines)
                others += engine->runs(id);
        }
        for (int i = 0; i < requestsPerNode; ++i) {
            const std::string id = "after-" + std::to_string(node) + "-" + std::to_string(i);
            send(deployment, record, node, id, "never-issued");
            for (const auto &engine : deployment.engines)
                runs += engine->runs(id);
        }
    }
    record.write("beside these, %d of %d requests ran with the tenant's key or without any", others,
                 2 * nodes);
    record.write("ROUTE %s: %d of %d requests ran whose key no manifest ever held",
                 runs > 0 ? "is broken" : "holds", runs, nodes * requestsPerNode);
    return runs > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char *argv[])
{
    try {
        Record record(argc > 1 ? argv[1] : "record.txt");
        return runCase(record);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return CaseFailed;
    }
}
