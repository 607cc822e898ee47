// One part of prompts that have many parts crashes each engine that begins to write an answer on
// it.
#include "casekit.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdlib>

using namespace review;

namespace {

constexpr int nodes = 3;
constexpr int engines = 4;
constexpr int parts = 40;
constexpr Millis downtime {5000};
constexpr Millis betweenSound {100};
constexpr Millis betweenDeadly {400};
constexpr Millis calmTime {10000};
constexpr Millis troubleTime {30000};
constexpr Millis contact {3000};
constexpr const char *deadlyPart = "dead0001";

/*!
    Returns the position of the deadly part among the parts of a prompt, the first being 1.
*/
int deadlyPosition()
{
    const char *text = std::getenv("POSITION");
    return text ? std::atoi(text) : 36;
}

/*!
    Returns a prompt of parts that all requests share, but for the last one, which is its own. The
    deadly part takes the place of a sound one.
*/
std::string makePrefix(int n, bool isDeadly)
{
    std::string prefix;
    for (int part = 1; part < parts; ++part) {
        const bool isPlace = part == deadlyPosition();
        absl::StrAppend(&prefix, prefix.empty() ? "" : ",",
                        isPlace && isDeadly ? std::string(deadlyPart)
                                            : absl::StrCat("5a", absl::Hex(part, absl::kZeroPad4)),
                        ":100");
    }
    return absl::StrCat(prefix, ",", absl::Hex(0x1000000 + n), ":100");
}

struct Run
{
    Record &record;
    Deployment deployment;
    std::vector<std::shared_ptr<Stream>> sound;
    std::vector<std::shared_ptr<Stream>> deadly;
    std::vector<Clock::time_point> crashes;
    std::vector<Clock::time_point> deadlyArrivals;
    int count = 0;

    explicit Run(Record &log)
        : record(log), deployment(log,
                                  {.nodes = nodes,
                                   .routes = {{.prefix = "/stream/",
                                               .kind = "streaming",
                                               .service = "model",
                                               .maxAttempts = 1,
                                               .resumable = true}},
                                   .services = {"model"}})
    {
    }

    void startStream(bool isDeadly)
    {
        const int n = ++count;
        const auto stream = std::make_shared<Stream>(
                deployment, record, (isDeadly ? "deadly" : "s") + std::to_string(n),
                StreamOptions {
                        .path = "/stream/x",
                        .retries = 0,
                        .chooseNode =
                                [n](int) {
                                    return 1 + n % nodes;
                                },
                        .body = "prompt " + std::to_string(n),
                        .fields = {{"Sesameproxy-Model", "m"},
                                   {"Sesameproxy-Token-Usage", std::to_string(100 * parts) + ",80"},
                                   {"Sesameproxy-Prefix-Hash", makePrefix(n, isDeadly)}}});
        (isDeadly ? deadly : sound).push_back(stream);
        stream->start();
    }

    void drive(Millis time, bool withDeadly)
    {
        const auto end = Clock::now() + time;
        auto nextSound = Clock::now();
        auto nextDeadly = Clock::now();
        while (Clock::now() < end) {
            if (Clock::now() >= nextSound) {
                nextSound += betweenSound;
                startStream(false);
            }
            if (withDeadly && Clock::now() >= nextDeadly) {
                nextDeadly += betweenDeadly;
                startStream(true);
            }
            deployment.runFor(5ms);
        }
    }
};

int runCase(Record &record)
{
    Run run(record);
    Deployment &deployment = run.deployment;
    for (int i = 0; i < engines; ++i) {
        deployment.addEngine(
                {.id = "i-" + std::to_string(i),
                 .service = "model",
                 .events = 10,
                 .eventInterval = 50ms,
                 .isDeadly =
                         [&run](const EngineRequest &request) {
                             const bool isDeadly = request.prefix.find(deadlyPart)
                                     != std::string::npos;
                             if (isDeadly)
                                 run.deadlyArrivals.push_back(request.arrival);
                             return isDeadly;
                         },
                 .onDeadly =
                         [&run, i] {
                             run.crashes.push_back(Clock::now());
                             Engine *engine = run.deployment.engines[static_cast<std::size_t>(i)]
                                                      .get();
                             engine->upgrade("1.0", downtime, [&run, engine] {
                                 run.deployment.putEntry(*engine, "ready");
                             });
                         }});
    }
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
    run.drive(calmTime, false);
    const auto start = Clock::now();
    run.drive(troubleTime, hasTrouble());
    const auto end = Clock::now();
    deployment.runFor(3s);
    if (hasTrouble() && run.crashes.empty())
        return CaseFailed;
    const auto lastCounted = run.crashes.size() >= 5 ? run.crashes[4]
            : run.crashes.empty()                    ? start
                                                     : run.crashes.back();
    const auto from = lastCounted + 2 * contact;
    int asked = 0;
    int begun = 0;
    int askedBefore = 0;
    int begunBefore = 0;
    for (const auto &stream : run.sound) {
        const bool began = stream->lastEvent() > 0;
        if (stream->startedAt() < start) {
            ++askedBefore;
            begunBefore += began ? 1 : 0;
        } else if (stream->startedAt() >= from && stream->startedAt() < end) {
            ++asked;
            begun += began ? 1 : 0;
        }
    }
    const auto late = std::count_if(
            run.deadlyArrivals.begin(), run.deadlyArrivals.end(), [&](Clock::time_point time) {
                return run.crashes.size() >= 5 && time > run.crashes[4] + contact;
            });
    record.write("the part stands at position %d of %d; %zu crashes; requests with it that engines "
                 "began later than contactMs after the fifth: %d, three may",
                 deadlyPosition(), parts, run.crashes.size(), static_cast<int>(late));
    if (asked < 20 || askedBefore < 20)
        return CaseFailed;
    const double share = static_cast<double>(begun) / asked;
    const double shareBefore = static_cast<double>(begunBefore) / askedBefore;
    const bool isBroken = share < shareBefore / 2.0;
    record.write("LOST %s: from 2 x contactMs after the fifth crash, %d of %d sound requests began "
                 "at the first attempt (%.2f); before, %d of %d (%.2f)",
                 isBroken ? "is broken" : "holds", begun, asked, share, begunBefore, askedBefore,
                 shareBefore);
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
