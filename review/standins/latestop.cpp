// A planned stop: a machine gets SIGTERM while clients that still hold the old directory response
// send it payments. Some payments take an engine 2.3 s, before, during and after the stop; the
// clients wait for 2.5 s.

#include "deployment.h"

using namespace review;

namespace {

constexpr int nodeCount = 3;
constexpr int deadlineMs = 2500;
constexpr auto longWork = 2300ms;
constexpr auto sendInterval = 50ms;
//! Clients keep a directory response for three times its time to live of 2 s.
constexpr auto directoryLifetime = 6s;

struct Payment
{
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
    Answer answer;
    int runs = 0;
};

Payment sendPayment(Deployment &deployment, std::size_t node)
{
    Payment payment;
    Channel channel;
    const std::string id = nextAttemptId();
    if (channel.connect(deployment.nodes[node].ip, deployment.port)) {
        payment.sentAt = elapsedMillis();
        if (channel.write(formatClientRequest("POST", "fee-payment", id, deadlineMs, false, 600)))
            payment.answer = channel.readAnswer(Clock::now() + Millis(deadlineMs));
    } else {
        payment.sentAt = elapsedMillis();
    }
    payment.endedAt = elapsedMillis();
    for (const auto &engine : deployment.engines)
        payment.runs += engine->runs(id);
    return payment;
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    Deployment deployment(nodeCount, manifest());
    for (int i = 0; i < 16; ++i)
        deployment.addEngine("i-portal-" + std::to_string(i), "entry-portal", 6,
                             [](Engine &engine, Channel &channel, const Request &request) {
                                 return sendPlain(engine, channel, request, longWork);
                             });
    if (!deployment.start())
        return 2;
    std::this_thread::sleep_for(3s);
    std::mutex mutex;
    std::vector<Payment> payments;
    std::vector<std::thread> clients;
    const std::int64_t stopAt = elapsedMillis() + 3000;
    bool isStopped = false;
    while (elapsedMillis() < stopAt + Millis(directoryLifetime).count()) {
        if (!isStopped && elapsedMillis() >= stopAt) {
            isStopped = true;
            if (hasTrouble())
                deployment.signal(0, SIGTERM);
            record("%s", hasTrouble() ? "SIGTERM to the first node" : "no SIGTERM");
        }
        clients.emplace_back([&] {
            Payment payment = sendPayment(deployment, 0);
            const std::lock_guard lock(mutex);
            payments.push_back(std::move(payment));
        });
        std::this_thread::sleep_for(sendInterval);
    }
    for (std::thread &client : clients)
        client.join();
    std::this_thread::sleep_for(3s);
    int complete = 0;
    int lost = 0;
    std::map<std::string, int> others;
    for (const Payment &payment : payments) {
        const std::int64_t afterStop = payment.sentAt - stopAt;
        const std::int64_t took = payment.endedAt - payment.sentAt;
        if (payment.answer.end == Answer::End::Complete && payment.answer.status == 200) {
            ++complete;
            continue;
        }
        ++others[std::to_string(payment.answer.status) + " " + endName(payment.answer.end)];
        // Not counted: sent no later than 3 s after the SIGTERM, or ended by the deadline.
        if (payment.runs == 0 || afterStop <= 3000 || took >= deadlineMs
            || payment.answer.end == Answer::End::Complete
            || payment.answer.end == Answer::End::Timeout)
            continue;
        ++lost;
        record("fee-payment sent %lld ms after the SIGTERM: run %d times, channel %s after "
               "%lld of %d ms without an answer",
               static_cast<long long>(afterStop), payment.runs, endName(payment.answer.end),
               static_cast<long long>(took), deadlineMs);
    }
    record("fee-payment: %zu sent, %d complete", payments.size(), complete);
    for (const auto &[text, n] : others)
        record("fee-payment: %d ended with: %s", n, text.c_str());
    const bool isBroken = lost > 0;
    record("LOST: %d payments that were passed on to an engine, allowed 0: %s", lost,
           isBroken ? "BROKEN" : "held");
    deployment.stop();
    // Threads of the stand-ins still use them, so nothing is destroyed.
    std::_Exit(isBroken ? 1 : 0);
}
