#pragma once

#include "Core/settingserror.h"

#include <optional>
#include <string>
#include <vector>

namespace sesame {

/*!
    Returns the content of the file \a path, or std::nullopt after printing why it cannot be read.
*/
std::optional<std::string> readTextFile(const std::string &path);

/*!
    Prints each of \a errors as one line on standard error.
*/
void printErrors(const std::vector<SettingsError> &errors);

} // namespace sesame
