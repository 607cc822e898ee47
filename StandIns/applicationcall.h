#pragma once

#include "caller.h"
#include "callresult.h"
#include "entrylist.h"

namespace sesame {

/*!
    Sends one application call under \a idempotencyKey and repeats it with the same key through
    other entries until its outcome is known or the deadline passes.
*/
CallResult callApplication(const CallerOptions &options, EntryList *entries,
                           const std::string &idempotencyKey);

} // namespace sesame
