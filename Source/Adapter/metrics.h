#pragma once

#include "Core/fleetconfig.h"
#include "Core/resultcode.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace sesame {

/*!
    Counters and latency quantiles of a node, rendered as text for the operator address.

    The class is thread-safe. Its mutex is the last in the lock order, so that every module may call
    it while holding a mutex of its own.
*/
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /*!
        Adds \a amount to the counter \a name, for example "retries". The names must be constants of
        the program and never come from requests, so that the number of counters is bounded.
    */
    void count(std::string_view name, std::uint64_t amount = 1);

    /*!
        Counts a finished request by rank and result code.
    */
    void recordResult(Rank rank, ResultCode code);

    /*!
        Records the time from the arrival of a request to its first token or, for a plain service,
        to the response.
    */
    void recordFirstToken(Rank rank, std::chrono::microseconds time);

    /*!
        Records the time between two consecutive tokens of a stream.
    */
    void recordTokenGap(Rank rank, std::chrono::microseconds time);

    /*!
        Returns the metrics as text with one line per value: the name, the labels in braces if there
        are any, a space and the number. Times are in milliseconds. Quantiles are estimated over all
        samples since the process started.
    */
    std::string render() const;

private:
    struct Latency;
    using Latencies = std::array<std::unique_ptr<Latency>, rankCount>;

    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::pair<Rank, ResultCode>, std::uint64_t> m_results;
    Latencies m_firstToken;
    Latencies m_tokenGap;
};

} // namespace sesame
