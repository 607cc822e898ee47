#pragma once

#include "Core/settingserror.h"

#include <optional>
#include <string>
#include <vector>

namespace sesame {

/*!
    Returns the content of the file \a path. If it cannot be read, prints an error and returns
    std::nullopt.
*/
std::optional<std::string> readTextFile(const std::string &path);

/*!
    Prints each element of \a errors on a line of its own to standard error.
*/
void printErrors(const std::vector<SettingsError> &errors);

} // namespace sesame
