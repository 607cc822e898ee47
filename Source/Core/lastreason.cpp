#include "Core/lastreason.h"

#include <utility>

namespace sesame {

namespace {
thread_local FailureReason threadReason;
} // namespace

std::nullopt_t fail(ResultCode code, std::string text)
{
    threadReason = FailureReason {.code = code, .text = std::move(text)};
    return std::nullopt;
}

const FailureReason &lastReason()
{
    return threadReason;
}

} // namespace sesame
