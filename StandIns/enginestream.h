#pragma once

#include "Core/ports.h"
#include "enginetokens.h"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace sesame {

//! Request id and attempt number.
using EngineStreamKey = std::pair<std::string, std::uint64_t>;

enum class EngineStreamState { Queued, Running, Finished, Cancelled, Exported };

/*!
    One request of the engine stand-in. The scheduler's mutex guards all members.
*/
struct EngineStream
{
    EngineStreamKey key;
    EnginePrompt prompt;
    std::string model;
    unsigned priority = 1;
    std::uint64_t nextIndex = 0; //!< Index of the next token to produce.
    std::uint64_t endIndex = 0; //!< Index after the last token.
    std::chrono::seconds keepTime {0};
    bool isPrefilled = false; //!< The state was imported, so prefill is not needed.
    EngineStreamState state = EngineStreamState::Queued;
    unsigned readerCount = 0; //!< Number of connections that read the stream.
    Timestamp idleSince; //!< Time when the last reader detached or the stream ended.
    std::condition_variable changed;
};

using EngineStreamPtr = std::shared_ptr<EngineStream>;

constexpr bool isOpen(EngineStreamState state)
{
    return state == EngineStreamState::Queued || state == EngineStreamState::Running;
}

} // namespace sesame
