#include "support/platformdeployment.h"

#include <array>

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

namespace {

constexpr auto downtime = 700ms;
//! Time that the platform grants for a crash to become known on all nodes.
constexpr auto contactTime = 3000ms;

int crashCount(const PlatformDeployment &deployment)
{
    int n = 0;
    for (const auto &engine : deployment.platform.engines)
        n += engine->crashCount();
    return n;
}

} // namespace

// Guards against requests that differ in everything but one part of their prompts and crash engine
// after engine, and against refusing sound requests that share their other parts.
Test(crashingpart, requestsWithAPartThatCrashesEnginesAreRefused)
{
    PlatformDeployment deployment(21850, 2);
    for (int i = 0; i < EmulatedPlatform::modelEngineCount; ++i)
        deployment.platform.engines[static_cast<std::size_t>(i)]->setDeadlyPart("dead", downtime);
    deployment.runFor(1500ms);
    int sent = 0;
    std::optional<std::chrono::steady_clock::time_point> fifthCrash;
    int crashesAfterContact = 0;
    int soundAfterContact = 0;
    int servedAfterContact = 0;
    const auto end = std::chrono::steady_clock::now() + 14s;
    while (std::chrono::steady_clock::now() < end) {
        const std::string n = std::to_string(++sent);
        const int node = 1 + sent % 2;
        const int before = crashCount(deployment);
        const std::array<std::string, 4> deadly {"a1", "dead", "c3", "d" + n};
        deployment.sendPrompt(node, "deadly-" + n, deadly);
        const auto now = std::chrono::steady_clock::now();
        if (crashCount(deployment) >= 5 && !fifthCrash)
            fifthCrash = now;
        const bool isLate = fifthCrash && now - *fifthCrash > contactTime;
        crashesAfterContact += isLate ? crashCount(deployment) - before : 0;
        const std::array<std::string, 3> sound {"a1", sent % 3 == 0 ? "c3" : "b2", "e" + n};
        const CallResponse answer = deployment.sendPrompt(3 - node, "sound-" + n, sound);
        soundAfterContact += isLate ? 1 : 0;
        servedAfterContact += isLate && answer.status == 200 ? 1 : 0;
        deployment.runFor(100ms);
    }
    // With fewer than five crashes, the requests were refused early enough.
    cr_expect_leq(crashesAfterContact, 3);
    if (fifthCrash)
        cr_expect_geq(servedAfterContact * 2, soundAfterContact);
    cr_expect_geq(crashCount(deployment), 2);
    for (int i = 0; i < 6; ++i) {
        const std::string n = std::to_string(i);
        const std::array<std::string, 3> sound {"a1", i % 2 == 0 ? "c3" : "b2", "f" + n};
        cr_expect_eq(deployment.sendPrompt(1 + i % 2, "after-" + n, sound).status, 200U);
        const std::array<std::string, 3> deadly {"dead", "c3", "9" + n};
        cr_expect_eq(deployment.sendPrompt(1 + i % 2, "dead-" + n, deadly).status, 503U);
        cr_expect_eq(deployment.executionCount("dead-" + n), 0);
    }
}
