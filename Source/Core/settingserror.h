#pragma once

#include "Core/resultcode.h"

#include <string>

namespace sesame {

/*!
    One fault of a settings or fleet file.
*/
struct SettingsError
{
    std::string file;
    unsigned line = 0; //!< 1 for the first line; 0 if the fault has no position.
    std::string key; //!< Full path, for example "defaults.claim_shards".
    std::string found; //!< The value found, or "nothing". Secrets are never quoted.
    std::string allowed;
    ResultCode code = ResultCode::InvalidSettings;

    /*!
        Returns the fault as one line of text without a line break.
    */
    std::string format() const;
};

} // namespace sesame
