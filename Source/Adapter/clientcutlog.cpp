#include "Adapter/clientcutlog.h"

#include "Adapter/log.h"

namespace sesame {

void logClientCuts(const CutCounts &counts)
{
    const auto count = [&](CutReason reason) {
        return static_cast<std::int64_t>(counts[static_cast<std::size_t>(reason)]);
    };
    logEvent(LogLevel::Warning, "clients.cut",
             {{cutReasonName(CutReason::Memory), count(CutReason::Memory)},
              {cutReasonName(CutReason::Unread), count(CutReason::Unread)},
              {cutReasonName(CutReason::NoRoom), count(CutReason::NoRoom)},
              {cutReasonName(CutReason::StoppedReading), count(CutReason::StoppedReading)},
              {cutReasonName(CutReason::Descriptors), count(CutReason::Descriptors)}});
}

} // namespace sesame
