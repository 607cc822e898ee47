#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sesame {

struct CallerOptions
{
    std::vector<std::string> entryUrls; //!< Base URLs of entry nodes, or of one engine if direct.
    bool callsEngineDirectly = false; //!< The URLs are engines; no entry node is involved.
    std::string accountKey; //!< Account key.
    bool callsApplication = false; //!< Calls an application route instead of chat completions.

    std::string model = "model";
    std::string rank; //!< Claimed rank; empty: the model's.
    std::string requestId; //!< Of the first request; empty: chosen at random.
    std::string prompt; //!< Empty: made from seed, prefixes and promptWords.
    std::size_t promptWords = 64;
    std::size_t prefixes = 1; //!< Number of different shared prefixes.
    std::size_t prefixWords = 0; //!< Words that prompts of one prefix share.
    std::uint64_t maxTokens = 32;
    bool stream = true;

    std::string method = "POST";
    std::string path = "/";
    std::string body;
    std::string idempotencyKey; //!< Empty: a new one for each call.

    std::size_t concurrency = 1; //!< Callers at once; with a rate, the most there may be.
    double rate = 0.0; //!< Requests per second; 0: each caller sends one after the other.
    std::chrono::milliseconds duration {0}; //!< 0: \c requests are sent.
    std::uint64_t requests = 1;
    std::chrono::milliseconds deadline {60000}; //!< For one request with all its repetitions.
    std::chrono::milliseconds idleLimit {
            10000}; //!< Silence after which a connection counts as broken.
    std::uint64_t seed = 1;
    bool printsJson = false; //!< Print the report as JSON.
    bool printsAnswers = false; //!< Print the text of each answer.
};

/*!
    Sends requests as \a options say and prints a report.
    Returns 0, or 1 if an answer was wrong, or if a single request did not complete.
*/
int runCaller(const CallerOptions &options);

} // namespace sesame
