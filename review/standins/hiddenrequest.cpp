// Clients send payments whose body is the text of another request, and then an ordinary payment on
// the same channel. With trouble, some of the former state a transfer coding other than "chunked"
// and no length, so that the end of the body is unknown.

#include "deployment.h"

using namespace review;

namespace {

constexpr int nodeCount = 3;
constexpr int paymentsPerNode = 20;
constexpr int hiddenOneIn = 4;

/*!
    What the engines have run: the body of each attempt.
*/
struct Runs
{
    std::mutex mutex;
    std::map<std::string, std::string> bodies;
};

std::string formatPayment(const std::string &id, const std::string &framing,
                          const std::string &body)
{
    return "POST /fee-payment/2f HTTP/1.1\r\nHost: " + std::string(host)
            + "\r\nSesameproxy-Attempt-Id: " + id
            + "\r\nSesameproxy-Deadline-Ms: 2500\r\nAuthorization: Token " + apiKey + "\r\n"
            + framing + "\r\n" + body;
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    Runs runs;
    Deployment deployment(nodeCount, manifest());
    for (int i = 0; i < 4; ++i)
        deployment.addEngine(
                "i-portal-" + std::to_string(i), "entry-portal", 6,
                [&runs](Engine &engine, Channel &channel, const Request &request) {
                    {
                        const std::lock_guard lock(runs.mutex);
                        runs.bodies[findField(request.fields, "Sesameproxy-Attempt-Id")]
                                = request.body;
                    }
                    return sendPlain(engine, channel, request, 30ms);
                });
    if (!deployment.start())
        return 2;
    std::this_thread::sleep_for(2s);
    int smuggled = 0;
    int changed = 0;
    int foreign = 0;
    int complete = 0;
    std::map<int, int> statuses;
    for (int i = 0; i < nodeCount * paymentsPerNode; ++i) {
        Channel channel;
        const auto &node = deployment.nodes[static_cast<std::size_t>(i % nodeCount)];
        if (!channel.connect(node.ip, deployment.port))
            return 2;
        const std::string id = nextAttemptId();
        const std::string hiddenId = nextAttemptId();
        const std::string body = formatPayment(hiddenId, "Content-Length: 0\r\n", "");
        const bool isOdd = hasTrouble() && i % hiddenOneIn == 0;
        const std::string framing = isOdd
                ? "Transfer-Encoding: identity\r\n"
                : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        channel.write(formatPayment(id, framing, body));
        const Answer answer = channel.readAnswer(Clock::now() + 2500ms);
        ++statuses[answer.status];
        const std::string nextId = nextAttemptId();
        if (answer.end == Answer::End::Complete && answer.status == 200
            && channel.write(formatPayment(nextId, "Content-Length: 0\r\n", ""))) {
            const std::string answeredId = findField(
                    channel.readAnswer(Clock::now() + 2500ms).fields, "Sesameproxy-Attempt-Id");
            if (!answeredId.empty() && answeredId != nextId) {
                ++foreign;
                record("payment %s, sent next on the channel, got the answer to %s", nextId.c_str(),
                       answeredId.c_str());
            }
        }
        std::this_thread::sleep_for(100ms);
        const std::lock_guard lock(runs.mutex);
        const bool ranHidden = runs.bodies.contains(hiddenId);
        const bool ran = runs.bodies.contains(id);
        const bool isChanged = ran && runs.bodies[id] != body;
        smuggled += ranHidden ? 1 : 0;
        changed += isChanged ? 1 : 0;
        complete += ran && !isChanged && !ranHidden ? 1 : 0;
        if (ranHidden || isChanged)
            record("payment %s (%s): answered %d; an engine ran it with a body of %zu bytes, "
                   "%zu were sent; the request in its body, %s, was %s",
                   id.c_str(), isOdd ? "Transfer-Encoding: identity" : "with a length",
                   answer.status, ran ? runs.bodies[id].size() : 0, body.size(), hiddenId.c_str(),
                   ranHidden ? "run too" : "not run");
    }
    for (const auto &[status, n] : statuses)
        record("%d payments answered with status %d", n, status);
    record("%d payments run as sent", complete);
    const bool isBroken = smuggled > 0 || changed > 0;
    record("MIXED: %d answers that belong to another request, allowed 0: %s", foreign,
           foreign > 0 ? "BROKEN" : "held");
    record("UNASKED: %d requests run that were inside another one, %d run with another body, "
           "allowed 0: %s",
           smuggled, changed, isBroken ? "BROKEN" : "held");
    deployment.stop();
    // Threads of the stand-ins still use them, so nothing is destroyed.
    std::_Exit(isBroken ? 1 : 0);
}
