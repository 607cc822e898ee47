// Streams of the old version that clients take up again while a roll-out is at its last step.
#include "casekit.h"

#include <csignal>

using namespace review;

namespace {

constexpr int nodes = 3;
constexpr int enginesPerVersion = 5;
constexpr double rolloutSeconds = 25.0;
constexpr Millis betweenStreams {40};

struct Run
{
    Record &record;
    Deployment deployment;
    std::vector<std::shared_ptr<Stream>> streams;
    std::set<int> dead;
    int count = 0;

    explicit Run(Record &log)
        : record(log),
          deployment(log,
                     {.nodes = nodes,
                      .contracts = {"base", "drain", "config", "cost", "retry", "recover", "health",
                                    "pool", "engine", "stream", "tenants", "quota", "leader",
                                    "rollout", "platform"},
                      .routes = {{.prefix = "/stream/",
                                  .kind = "streaming",
                                  .service = "model",
                                  .maxAttempts = 2,
                                  .resumable = true}},
                      .services = {"model"}})
    {
    }

    void addEngines(const std::string &version)
    {
        for (int i = 0; i < enginesPerVersion; ++i)
            deployment.addEngine({.id = "i-" + version + "-" + std::to_string(i),
                                  .service = "model",
                                  .version = version,
                                  .events = 90,
                                  .eventInterval = 100ms});
    }

    void startStream()
    {
        const int n = ++count;
        const auto stream = std::make_shared<Stream>(
                deployment, record, "s" + std::to_string(n),
                StreamOptions {.path = "/stream/x",
                               .retries = 2,
                               .chooseNode = [this, n](int before) {
                                   int node = before == 0 ? 1 + n % nodes : 1 + before % nodes;
                                   while (dead.contains(node))
                                       node = 1 + node % nodes;
                                   return node;
                               }});
        streams.push_back(stream);
        stream->start();
    }

    /*!
        Starts streams at a steady rate until \a condition holds or \a limit has passed.
    */
    bool drive(const std::function<bool()> &condition, Millis limit)
    {
        const auto end = Clock::now() + limit;
        auto next = Clock::now();
        auto nextCheck = Clock::now();
        while (Clock::now() < end) {
            if (Clock::now() >= nextCheck) {
                if (condition())
                    return true;
                nextCheck = Clock::now() + 100ms;
            }
            if (Clock::now() >= next) {
                next += betweenStreams;
                startStream();
            }
            deployment.runFor(5ms);
        }
        return false;
    }

    bool isLastStepKnown()
    {
        for (int node = 1; node <= nodes; ++node) {
            const std::string log = deployment.log(node);
            if (log.find(R"("state":"widening","share":1000)") == std::string::npos)
                return false;
        }
        return true;
    }

    std::string status() { return deployment.store->status("rollouts", "model"); }

    int oldRunning() const
    {
        int n = 0;
        for (int i = 0; i < enginesPerVersion; ++i)
            n += deployment.engines[static_cast<std::size_t>(i)]->running();
        return n;
    }
};

int runCase(Record &record)
{
    Run run(record);
    Deployment &deployment = run.deployment;
    run.addEngines("1.0");
    for (int node = 1; node <= nodes; ++node)
        deployment.startNode(node, true);
    for (int node = 1; node <= nodes; ++node) {
        if (!deployment.runUntil([&] { return deployment.isReady(node); }, 15s))
            return CaseFailed;
    }
    const auto never = [] { return false; };
    run.drive(never, 4s);
    deployment.store->put("rollouts", "model",
                          R"({"service":"model","target":"2.0","durationS":)"
                                  + std::to_string(rolloutSeconds) + "}");
    record.write("the operator orders version 2.0 of the service model");
    run.drive(never, 300ms);
    run.addEngines("2.0");
    if (!run.drive([&] { return run.isLastStepKnown(); }, 30s)) {
        record.write("the roll-out did not reach its last step: %s", run.status().c_str());
        return CaseFailed;
    }
    record.write("all nodes know the last step of the roll-out; status %s; %d streams run at the "
                 "old version",
                 run.status().c_str(), run.oldRunning());
    const auto killTime = Clock::now();
    if (hasTrouble()) {
        deployment.signalNode(1, SIGKILL);
        run.dead.insert(1);
    }
    // The old engines go on: the roll-out is not completed as long as streams run there.
    run.drive([&] { return run.status().find("completed") != std::string::npos; }, 4s);
    const bool isCompleted = run.status().find("completed") != std::string::npos;
    record.write("4 s later: status %s, %d streams run at the old version", run.status().c_str(),
                 run.oldRunning());
    deployment.runUntil(
            [&] {
                for (const auto &stream : run.streams) {
                    if (!stream->isEnded())
                        return false;
                }
                return true;
            },
            12s);
    int takenUp = 0;
    int wentOn = 0;
    int begun = 0;
    int asked = 0;
    for (const auto &stream : run.streams) {
        if (stream->wasTakenUp() && stream->takenUpAt() >= killTime) {
            ++takenUp;
            wentOn += stream->wentOn() ? 1 : 0;
        }
        if (stream->startedAt() >= killTime) {
            ++asked;
            begun += stream->lastEvent() > 0 ? 1 : 0;
        }
    }
    record.write("taken up: %d, of these went on: %d; new streams: %d, of these began: %d", takenUp,
                 wentOn, asked, begun);
    if (asked == 0 || (hasTrouble() && (takenUp < 12 || isCompleted)))
        return CaseFailed;
    const double takenUpShare = takenUp == 0 ? 1.0 : static_cast<double>(wentOn) / takenUp;
    const double newShare = static_cast<double>(begun) / asked;
    const bool isBroken = takenUp >= 12 && takenUpShare < newShare / 2.0;
    record.write("LOST %s: %.2f of the streams that were taken up went on, %.2f of the new ones "
                 "began",
                 isBroken ? "is broken" : "holds", takenUpShare, newShare);
    return isBroken ? RuleBroken : RuleHeld;
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
