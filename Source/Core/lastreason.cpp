#include "Core/lastreason.h"

#include <utility>

namespace sesame {

namespace {
thread_local Reason threadReason;
} // namespace

std::nullopt_t fail(ResultCode code, std::string text)
{
    threadReason = Reason {.code = code, .text = std::move(text)};
    return std::nullopt;
}

const Reason &lastReason()
{
    return threadReason;
}

} // namespace sesame
