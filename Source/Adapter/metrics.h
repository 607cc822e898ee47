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
    Counters and latency quantiles of one node, rendered as text for the operator address.

    Thread-safe. Its mutex is the last in the lock order, so that every module can report.
*/
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /*!
        Adds \a amount to the counter \a name, for example "retries". Names are part of the
        program and never come from requests, so that their number is bounded.
    */
    void count(std::string_view name, std::uint64_t amount = 1);

    /*!
        Counts a finished request by rank and result.
    */
    void recordResult(Rank rank, ResultCode code);

    /*!
        Records the time from the request's arrival to its first token, or to the answer of a
        plain service.
    */
    void recordFirstToken(Rank rank, std::chrono::microseconds time);

    /*!
        Records the time between two tokens of one stream.
    */
    void recordTokenGap(Rank rank, std::chrono::microseconds time);

    /*!
        Returns one line for each value: name, labels in braces, a space and the number.
        Times are in milliseconds. Quantiles are estimates over the life of the process.
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
