// Engines in trouble whose answers contain bytes that are no answer.
//
// Usage: endlessanswer trailer|chunk|id
//   trailer: after two events come the last chunk and, instead of its end, lines of 70,000 bytes
//            without end
//   chunk:   after two events come bytes without a line end where the size of a chunk is due
//   id:      after two events comes one with an id of 70,000 bytes, and the channel is reset; the
//            stream is one that may be resumed
//
// The share of the engines and of their answers is that of the trouble "garble" in the site file.

#include "deployment.h"

using namespace review;

namespace {

constexpr int nodeCount = 3;
constexpr int modelEngineCount = 6;
constexpr int troubledEngineCount = 2; // 0.33 of them; the site file says share = 0.35.
constexpr int spoiledOneIn = 50; // x = 0.02
constexpr auto troubleTime = 5500ms; // for_s = 5.5
constexpr auto calmTime = 6500ms;
//! Less than half of the speed of one link, linkMbps = 1000.
constexpr std::size_t linkBytesPerSecond = 50'000'000;

std::atomic<bool> isTroubled = false;
std::atomic<bool> isOver = false;
std::atomic<int> spoiledAnswers = 0;
std::atomic<int> answersOfTroubled = 0;

struct Tally
{
    std::atomic<int> sent = 0;
    std::atomic<int> complete = 0;
    std::atomic<int> incomplete = 0;
    //! Requests on kept channels that a sound engine has begun, and whose channel closed without a
    //! byte of an answer.
    std::atomic<int> lost = 0;
};

Tally payments;
Tally streams;

void sendGarbage(Channel &channel, const std::string &kind)
{
    std::string block;
    if (kind == "id") {
        const std::string event = "id: " + std::string(70'000, '0') + "\ndata: piece 3\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        channel.write(size + event + "\r\n");
        std::this_thread::sleep_for(20ms);
        channel.reset();
        return;
    }
    if (kind == "chunk") {
        block.assign(1'000'000, 'x');
    } else {
        block = "x-garbage: " + std::string(70'000, 'z') + "\r\n\r\n";
        channel.write("0\r\n");
    }
    // Goes on until the caller closes, at the speed of the link.
    auto next = Clock::now();
    while (!isOver && channel.write(block)) {
        next += std::chrono::nanoseconds(block.size() * 1'000'000'000ULL / linkBytesPerSecond);
        std::this_thread::sleep_until(next);
    }
}

bool serveModel(Engine &engine, Channel &channel, const Request &request, bool isTroubledEngine,
                const std::string &kind)
{
    const bool isSpoiled = isTroubledEngine && isTroubled
            && ++answersOfTroubled % spoiledOneIn == 1;
    if (!isSpoiled)
        return sendEvents(engine, channel, request, 10, 120ms, 20ms);
    ++spoiledAnswers;
    record("%s spoils its answer to %s", engine.id().c_str(),
           findField(request.fields, "Sesameproxy-Attempt-Id").c_str());
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n";
    for (const auto &[key, value] : engine.answerFields(request))
        head += key + ": " + value + "\r\n";
    std::this_thread::sleep_for(120ms);
    if (channel.write(head
                      + "\r\n15\r\nid: 1\ndata: piece 1\n\n\r\n"
                        "15\r\nid: 2\ndata: piece 2\n\n\r\n"))
        sendGarbage(channel, kind);
    return false;
}

/*!
    Sends requests one after the other and keeps the channel as long as the node does.
*/
void runClient(Deployment &deployment, std::size_t node, bool isStream,
               const std::string &streamRoute)
{
    Tally &tally = isStream ? streams : payments;
    const std::string ip = deployment.nodes[node].ip;
    Channel channel;
    int answeredOnChannel = 0;
    while (!isOver) {
        if (!channel.isOpen()) {
            answeredOnChannel = 0;
            if (!channel.connect(ip, deployment.port)) {
                std::this_thread::sleep_for(100ms);
                continue;
            }
        }
        const std::string id = nextAttemptId();
        const int deadlineMs = isStream ? 10000 : 2500;
        ++tally.sent;
        if (!channel.write(formatClientRequest("POST", isStream ? streamRoute : "fee-payment", id,
                                               deadlineMs, isStream, isStream ? 12000 : 600))) {
            channel.close();
            continue;
        }
        const Answer answer = channel.readAnswer(Clock::now() + Millis(deadlineMs));
        if (answer.end == Answer::End::Complete) {
            ++tally.complete;
            ++answeredOnChannel;
            if (findField(answer.fields, "Connection") == "close")
                channel.close();
        } else {
            ++tally.incomplete;
            bool ranAtSoundEngine = false;
            for (std::size_t i = 0; i < deployment.engines.size(); ++i) {
                const bool isSound = i >= troubledEngineCount;
                ranAtSoundEngine = ranAtSoundEngine
                        || (isSound && deployment.engines[i]->runs(id) > 0);
            }
            const bool isLost = answer.receivedBytes == 0 && answeredOnChannel > 0
                    && ranAtSoundEngine
                    && (answer.end == Answer::End::Closed || answer.end == Answer::End::Reset);
            if (isLost) {
                ++tally.lost;
                record("%s %s: run by a sound engine, channel %s without an answer after %d "
                       "answers on it",
                       isStream ? streamRoute.c_str() : "fee-payment", id.c_str(),
                       endName(answer.end), answeredOnChannel);
            }
            channel.close();
        }
        std::this_thread::sleep_for(isStream ? 20ms : 50ms);
    }
}

} // namespace

int main(int argc, char *argv[])
{
    const std::string kind = argc > 1 ? argv[1] : "";
    if (kind != "trailer" && kind != "chunk" && kind != "id")
        return 2;
    const std::string streamRoute = kind == "id" ? "jury-notes" : "dossier-review";
    std::signal(SIGPIPE, SIG_IGN);
    Deployment deployment(nodeCount, manifest());
    for (int i = 0; i < modelEngineCount; ++i)
        deployment.addEngine("i-model-" + std::to_string(i), "jury-model", 48,
                             [i, kind](Engine &engine, Channel &channel, const Request &request) {
                                 return serveModel(engine, channel, request,
                                                   i < troubledEngineCount, kind);
                             });
    for (int i = 0; i < 4; ++i)
        deployment.addEngine("i-portal-" + std::to_string(i), "entry-portal", 6,
                             [](Engine &engine, Channel &channel, const Request &request) {
                                 return sendPlain(engine, channel, request, 30ms);
                             });
    if (!deployment.start())
        return 2;
    std::vector<std::thread> clients;
    for (std::size_t node = 0; node < nodeCount; ++node) {
        for (int i = 0; i < 12; ++i)
            clients.emplace_back(runClient, std::ref(deployment), node, true, streamRoute);
        for (int i = 0; i < 4; ++i)
            clients.emplace_back(runClient, std::ref(deployment), node, false, streamRoute);
    }
    std::this_thread::sleep_for(4s);
    const int periods = kind == "chunk" ? 6 : 3;
    for (int period = 0; period < periods; ++period) {
        isTroubled = hasTrouble();
        record("%d of %d model engines are %s", troubledEngineCount, modelEngineCount,
               isTroubled ? "in trouble" : "left alone");
        std::this_thread::sleep_for(troubleTime);
        isTroubled = false;
        record("all engines are sound");
        std::this_thread::sleep_for(calmTime);
    }
    isOver = true;
    for (std::thread &client : clients)
        client.join();
    std::unique_lock lock(deployment.mutex);
    int machinesWithThreeEnds = 0;
    for (const auto &node : deployment.nodes) {
        record("%s: %d ends by itself, %d of them by memory; peak %lld MB", node.name.c_str(),
               node.ends, node.memoryEnds, static_cast<long long>(node.peakKb / 1024));
        machinesWithThreeEnds += node.ends >= 3 ? 1 : 0;
    }
    const int lost = payments.lost + streams.lost;
    record("spoiled answers: %d", spoiledAnswers.load());
    record("fee-payment: %d sent, %d complete, %d not, %d lost", payments.sent.load(),
           payments.complete.load(), payments.incomplete.load(), payments.lost.load());
    record("%s: %d sent, %d complete, %d not, %d lost", streamRoute.c_str(), streams.sent.load(),
           streams.complete.load(), streams.incomplete.load(), streams.lost.load());
    // LOST: more than three times. Fault: three ends on a tenth of the machines, two at least.
    const bool isLostBroken = lost > 3;
    const bool isFaultBroken = machinesWithThreeEnds >= 2;
    record("LOST: %d times, allowed 3: %s", lost, isLostBroken ? "BROKEN" : "held");
    record("Fault: %d machines whose process ended three times, allowed 1: %s",
           machinesWithThreeEnds, isFaultBroken ? "BROKEN" : "held");
    // The rule of the claim decides; the other one is recorded.
    const bool isBroken = kind == "chunk" ? isFaultBroken : isLostBroken;
    lock.unlock();
    deployment.stop();
    // Threads of the stand-ins still use them, so nothing is destroyed.
    std::_Exit(isBroken ? 1 : 0);
}
