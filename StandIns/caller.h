#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sesame {

struct CallerOptions
{
    std::vector<std::string> entryUrls; //!< Base URLs of entry nodes, or of one engine.
    bool callsEngineDirectly = false; //!< The URL is that of an engine, without an entry node.
    std::string accountKey; //!< Key that identifies the account.
    bool callsApplication = false; //!< Calls an application route instead of chat completions.

    std::string model = "model";
    std::string rank; //!< Requested rank. If empty, the model's rank applies.
    std::string requestId; //!< Id of the first request. If empty, it is random.
    std::string prompt; //!< If empty, it is generated from seed, prefixes and word counts.
    std::size_t promptWords = 64;
    std::size_t prefixes = 1; //!< Number of different shared prefixes.
    std::size_t prefixWords = 0; //!< Number of words in a shared prefix.
    std::uint64_t maxTokens = 32;
    bool stream = true;

    std::string method = "POST";
    std::string path = "/";
    std::string body;
    std::string idempotencyKey; //!< If empty, each call gets a new key.

    std::size_t concurrency = 1; //!< Maximum number of simultaneous requests.
    double rate = 0.0; //!< Requests per second. If 0, each thread sends one after the other.
    std::chrono::milliseconds duration {0}; //!< Duration of the run. If 0, \c requests are sent.
    std::uint64_t requests = 1;
    std::chrono::milliseconds deadline {60000}; //!< Time limit of one request with all its retries.
    std::chrono::milliseconds idleLimit {
            10000}; //!< Time without data after which a connection is broken.
    std::uint64_t seed = 1;
    bool printsJson = false; //!< Prints the report as JSON.
    bool printsAnswers = false; //!< Prints the text of each answer.
};

/*!
    Sends requests according to \a options and prints a report.
    Returns 1 if an answer was wrong or if the only request of the run did not complete, else 0.
*/
int runCaller(const CallerOptions &options);

} // namespace sesame
