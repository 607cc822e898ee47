#include "support/platformdeployment.h"
#include "support/rawengine.h"

#include <algorithm>

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

namespace {

//! Begin of an answer that is buffered until it is complete.
const std::string plainHead = "HTTP/1.1 200 OK\r\nSesameproxy-Attempt-Id: ID\r\n"
                              "Sesameproxy-Response-Seal: s\r\n";
const std::string streamHead = plainHead + "Content-Type: text/event-stream\r\n";

std::string formatChunk(const std::string &text)
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/*!
    A node whose only engines are those for plain requests and one that answers streams with given
    bytes.
*/
class BrokenEngineDeployment
{
public:
    explicit BrokenEngineDeployment(std::uint16_t firstPort)
        : deployment(firstPort, 1),
          engine(deployment.context,
                 Tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"),
                               static_cast<std::uint16_t>(firstPort + 40)))
    {
        setModelEngines("draining");
        deployment.platform.store.put("servers", "i-raw",
                                      R"({"service":"model","address":"127.0.0.1:)"
                                              + std::to_string(firstPort + 40)
                                              + R"(","zone":"z","slots":4,"state":"ready",)"
                                                R"("version":"v1","sequence":1,"born":1})");
        deployment.runFor(1500ms);
    }

    void setModelEngines(const std::string &state)
    {
        for (int i = 0; i < EmulatedPlatform::modelEngineCount; ++i)
            deployment.platform.putEngine(*deployment.platform.engines[static_cast<std::size_t>(i)],
                                          state);
    }

    /*!
        Makes the engine answer with \a answer and \a end, and expects that the caller of a request
        with the body \a body gets no success. The request is sent to the engine on a new
       connection, and again on one that has carried a whole answer. \a id is the begin of its
       attempt IDs.
    */
    void expectNoAnswer(const std::string &answer, RawEngine::End end, const std::string &id,
                        const std::string &body = "p")
    {
        for (const bool isKept : {false, true}) {
            const std::string name = id + (isKept ? "-kept" : "-new");
            if (isKept) {
                engine.setAnswer(streamHead + "Content-Length: 2\r\n\r\n\n\n",
                                 RawEngine::End::Keep);
                deployment.readAnswer(1, "/stream/x", name + "-whole");
            }
            const int connections = engine.usedConnectionCount();
            engine.setAnswer(answer, end);
            const RawAnswer received = deployment.readAnswer(1, "/stream/x", name, body);
            cr_expect_eq(engine.usedConnectionCount() - connections, isKept ? 0 : 1, "%s",
                         name.c_str());
            cr_expect_neq(received.status, 0U, "%s", name.c_str());
            cr_expect_not(received.isMalformed, "%s", name.c_str());
            cr_expect_not(received.isComplete && received.status < 500, "%s: %u, %s", name.c_str(),
                          received.status, received.body.substr(0, 100).c_str());
        }
    }

    /*!
        Expects that the node still runs, has used little memory and serves other requests.
    */
    void expectNodeIsSound(const char *caseName)
    {
        // Far below the 260 MB that nodes have, and above what an idle node uses.
        constexpr long maxMemoryKib = 64L << 10U;
        cr_expect_not(deployment.hasExited(1), "%s", caseName);
        const long memory = deployment.peakMemoryKib(1);
        cr_expect_lt(memory, maxMemoryKib, "%s: %ld KiB", caseName, memory);
        const std::string id = std::string("other-") + caseName;
        cr_expect_eq(deployment.sendRequest(1, "POST", "/book/x", id).status, 200U, "%s", caseName);
    }

    PlatformDeployment deployment;
    RawEngine engine;
};

} // namespace

// Guards against a trailer field of an engine's answer that is too long for the parser's container:
// the error ended the node, and all its other requests were cut.
Test(brokenanswers, longTrailerFieldDoesNotEndTheNode)
{
    BrokenEngineDeployment broken(22550);
    const std::string answer = streamHead + "Transfer-Encoding: chunked\r\n\r\n"
            + formatChunk(formatEvents(1, 2)) + "0\r\n";
    broken.engine.setAnswer(answer, RawEngine::End::Close);
    broken.engine.setEndlessBlock("X-Garbage: " + std::string(70000, 'z') + "\r\n\r\n");
    const RawAnswer received = broken.deployment.readAnswer(1, "/stream/x", "trailer");
    cr_expect_not(received.isComplete);
    cr_expect(formatEvents(1, 2).starts_with(received.body));
    broken.expectNodeIsSound("trailer");
}

// Guards against bytes without end between the chunks of an engine's answer, which filled the
// memory of the node.
Test(brokenanswers, endlessFramingDoesNotFillTheMemory)
{
    BrokenEngineDeployment broken(22600);
    const std::string begin = streamHead + "Transfer-Encoding: chunked\r\n\r\n"
            + formatChunk(formatEvents(1, 2));
    const std::map<std::string, std::string> cases {{"size", begin},
                                                    {"extension", begin + "5;"},
                                                    {"last-chunk", begin + "0;"},
                                                    {"trailer", begin + "0\r\nX: "},
                                                    {"head", streamHead + "X: "}};
    for (const auto &[name, answer] : cases) {
        broken.engine.setAnswer(answer, RawEngine::End::Close);
        broken.engine.setEndlessBlock(std::string(1U << 20U, 'x'));
        const std::size_t sentBefore = broken.engine.endlessBytes();
        const RawAnswer received = broken.deployment.readAnswer(1, "/stream/x", name);
        cr_expect_not(received.isComplete && received.status == 200, "%s", name.c_str());
        broken.deployment.runFor(50ms);
        // What fits into the buffers of the sockets may have been sent.
        cr_expect_lt(broken.engine.endlessBytes() - sentBefore, 16U << 20U, "%s", name.c_str());
        broken.expectNodeIsSound(name.c_str());
    }
    cr_expect_eq(broken.engine.requestCount(), static_cast<int>(cases.size()));
}

// Guards against an event id that is too long for a header field: the error ended the node when it
// resumed the stream at the next engine.
Test(brokenanswers, longEventIdDoesNotEndTheNode)
{
    BrokenEngineDeployment broken(22650);
    broken.engine.setAnswer(
            streamHead + "Transfer-Encoding: chunked\r\n\r\n" + formatChunk(formatEvents(1, 2))
                    + formatChunk("id: " + std::string(70000, '0') + "\ndata: piece 3\n\n"),
            RawEngine::End::Reset);
    broken.setModelEngines("ready");
    broken.deployment.runFor(1500ms);
    // The node spreads simultaneous streams over its engines, so one of them meets the raw engine.
    std::vector<std::optional<CallResponse>> answers(4);
    HttpCaller caller(broken.deployment.context, broken.deployment.platform.entryAddress(1));
    for (std::size_t i = 0; i < answers.size(); ++i)
        caller.call("POST", "/stream/again/x",
                    PlatformDeployment::requestFields("id-" + std::to_string(i), "key-large"), "p",
                    5s, [&answers, i](CallResponse response) {
                        answers[i] = std::move(response);
                    });
    const auto areAnswered = [&] {
        return std::all_of(answers.begin(), answers.end(), [](const auto &answer) {
            return answer.has_value();
        });
    };
    cr_assert(broken.deployment.runUntil(areAnswered, 6s));
    cr_expect_eq(broken.engine.requestCount(), 1);
    for (const auto &answer : answers) {
        cr_expect_eq(answer->status, 200U);
        cr_expect(answer->body == formatEvents(1, 5), "%s", answer->body.substr(0, 200).c_str());
    }
    broken.expectNodeIsSound("id");
}

// Guards against an answer whose engine stopped inside the head and that reaches the caller as a
// success with an empty or short body.
Test(brokenanswers, truncatedHeadsAreNoAnswers)
{
    BrokenEngineDeployment broken(22700);
    const std::string head = streamHead + "Content-Length: 117\r\n\r\n";
    const std::vector<std::size_t> lengths {12,
                                            17,
                                            head.find("Content-Type"),
                                            head.find("Content-Length"),
                                            head.size() - 5,
                                            head.size() - 4,
                                            head.size() - 3,
                                            head.size() - 2,
                                            head.size() - 1,
                                            head.size()};
    for (const RawEngine::End end : {RawEngine::End::Close, RawEngine::End::Reset}) {
        for (const std::size_t n : lengths) {
            broken.engine.setAnswer(head.substr(0, n), end);
            const int isReset = end == RawEngine::End::Reset ? 1 : 0;
            const std::string id = "head-" + std::to_string(isReset) + "-" + std::to_string(n);
            const RawAnswer received = broken.deployment.readAnswer(1, "/stream/x", id);
            cr_expect_neq(received.status, 200U, "%s: %s", id.c_str(), received.body.c_str());
        }
    }
    broken.expectNodeIsSound("head");
}

// Guards against an answer with a status that HTTP does not have, which reached the caller as a
// success.
Test(brokenanswers, statusesOutOfRangeAreNoAnswers)
{
    BrokenEngineDeployment broken(25800);
    const std::string rest = "Content-Length: 4\r\n\r\nbody";
    for (const std::string status : {"000", "099", "600"}) {
        for (std::string answer : {plainHead + rest, streamHead + rest}) {
            const std::string name = status
                    + (answer.starts_with(streamHead) ? "-stream" : "-plain");
            answer.replace(answer.find("200"), status.size(), status);
            broken.expectNoAnswer(answer, RawEngine::End::Close, name);
        }
    }
    broken.expectNodeIsSound("status");
}

// Guards against an answer whose head has a field name with a blank or a control character and that
// reaches the caller as a success, with that line or with another body.
Test(brokenanswers, brokenFieldNamesAreNoAnswers)
{
    BrokenEngineDeployment broken(25850);
    const std::vector<std::string> lines {
            "X Note: 1",  "X-Note : 1",  "X-Note\t: 1",        "X-\x01Note: 1",     "X-Note\x7f: 1",
            " X-Note: 1", "\tX-Note: 1", "Content-Length : 2", " Content-Length: 2"};
    for (std::size_t n = 0; n < lines.size(); ++n)
        broken.expectNoAnswer(plainHead + lines[n] + "\r\n\r\nbody", RawEngine::End::Close,
                              "line-" + std::to_string(n));
    broken.expectNodeIsSound("field");
}

// Guards against an answer without a length that the engine breaks off with a reset while the node
// is still writing the request. The part that had arrived reached the caller as a whole answer.
Test(brokenanswers, resetDuringAnUploadIsNotTheEndOfAnAnswer)
{
    BrokenEngineDeployment broken(25900);
    broken.engine.limitSegments();
    // Less than the limit for bodies, and more than the buffers of the sockets hold.
    const std::string upload(900'000, 'u');
    broken.expectNoAnswer(plainHead + "\r\nfirst part", RawEngine::End::Reset, "plain", upload);
    broken.expectNoAnswer(streamHead + "\r\n" + formatEvents(1, 2), RawEngine::End::Reset, "events",
                          upload);
}
