#pragma once

#include "Core/resultcode.h"

#include <string>

namespace sesame {

/*!
    An error in a settings or fleet file.
*/
struct SettingsError
{
    std::string file;
    unsigned line = 0; //!< Line number from 1, or 0 if the error has no position.
    std::string key; //!< Full path of the key, for example "defaults.claim_shards".
    std::string found; //!< The value found, or "nothing". Secrets are never included.
    std::string allowed; //!< Description of the allowed values.
    ResultCode code = ResultCode::InvalidSettings;

    /*!
        Returns the error as one line of text without a line break.
    */
    std::string format() const;
};

} // namespace sesame
