// Another writer's entry, in which documented fields are missing, takes the place of an engine's
// own entry until the engine writes again.
#include "casekit.h"

#include "Http/httpcaller.h"

using namespace review;

namespace {

constexpr int nodes = 3;
constexpr int rounds = 5;
//! An engine writes its entry again within this time.
constexpr Millis heartbeat {1200};

struct Run
{
    Record &record;
    Deployment deployment;
    std::vector<std::string> ids;
    int count = 0;

    explicit Run(Record &log)
        : record(log), deployment(log,
                                  {.nodes = nodes,
                                   .routes = {{.prefix = "/ask/",
                                               .kind = "safe",
                                               .service = "model",
                                               .timeoutMs = 2500,
                                               .targetLatencyMs = 500},
                                              {.prefix = "/book/",
                                               .kind = "unsafe",
                                               .service = "app",
                                               .timeoutMs = 2500,
                                               .targetLatencyMs = 150}},
                                   .services = {"model", "app"}})
    {
    }

    void send()
    {
        const std::string id = "q" + std::to_string(++count);
        const int node = 1 + count % nodes;
        ids.push_back(id);
        const auto caller = std::make_shared<sesame::HttpCaller>(deployment.context,
                                                                 deployment.entryAddress(node));
        sesame::HttpFields fields;
        fields.set("Host", "app.example");
        fields.set("Sesameproxy-Attempt-Id", id);
        fields.set("Sesameproxy-Deadline-Ms", "2500");
        fields.set("Authorization", "Token key-of-the-tenant");
        fields.set("Connection", "close");
        record.write("client sends %s, for the service model, to node %d", id.c_str(), node);
        caller->call("POST", "/ask/x", fields, "question " + id, 3s,
                     [this, caller, id](const sesame::CallResponse &answer) {
                         record.write("%s: answered %u with the seal %s", id.c_str(), answer.status,
                                      std::string(sesame::fieldValue(answer.fields,
                                                                     "Sesameproxy-Response-Seal"))
                                              .c_str());
                     });
    }

    void drive(Millis time)
    {
        const auto end = Clock::now() + time;
        while (Clock::now() < end) {
            send();
            deployment.runFor(20ms);
        }
    }
};

int runCase(Record &record)
{
    Run run(record);
    Deployment &deployment = run.deployment;
    for (int i = 0; i < 2; ++i)
        deployment.addEngine({.id = "i-model-" + std::to_string(i), .service = "model"});
    for (int i = 0; i < 2; ++i)
        deployment.addEngine({.id = "i-app-" + std::to_string(i), .service = "app"});
    const Engine &app = *deployment.engines[2];
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
    for (int round = 0; round < rounds; ++round) {
        if (hasTrouble()) {
            std::string entry = app.entry("ready");
            const std::string own = R"("service":"app")";
            entry.replace(entry.find(own), own.size(), R"("service":"model")");
            // Without the fields version, warmupLeftMs, sequence and born.
            const std::size_t version = entry.find(R"("version")");
            entry.erase(version, entry.find(R"("slots")") - version);
            const std::size_t rest = entry.find(R"(,"warmupLeftMs")");
            entry.erase(rest, entry.rfind('}') - rest);
            deployment.store->put("servers", app.id(), entry);
            record.write("another writer's entry: %s %s", app.id().c_str(), entry.c_str());
        }
        run.drive(heartbeat);
        deployment.putEntry(app, "ready");
        run.drive(1000ms);
    }
    deployment.runFor(3s);
    int wrong = 0;
    for (const std::string &id : run.ids)
        wrong += app.runs(id);
    record.write("ROUTE %s: engine %s of the service app ran %d of %zu requests for the service "
                 "model",
                 wrong > 0 ? "is broken" : "holds", app.id().c_str(), wrong, run.ids.size());
    return wrong > 0 ? RuleBroken : RuleHeld;
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
