#pragma once

#include "caller.h"
#include "callresult.h"
#include "entrylist.h"

namespace sesame {

/*!
    Sends one application call with \a idempotencyKey. Repeats it with the same key through other
    entry nodes until its outcome is known or the deadline has passed.
*/
CallResult callApplication(const CallerOptions &options, EntryList *entries,
                           const std::string &idempotencyKey);

} // namespace sesame
