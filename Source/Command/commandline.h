#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

enum ExitCode : int { ExitSuccess = 0, ExitFailure = 1, ExitUsage = 2, ExitConflict = 3 };

/*!
    A sub-command of the program.
*/
struct Command
{
    std::string_view name; //!< One or two words, for example "report burn".
    std::string_view synopsis; //!< Arguments and flags as docs/operators.md shows them.
    std::string_view help; //!< Lines that --help prints after the synopsis.
    std::size_t argumentCount; //!< Words after the name that are not flags.
    bool acceptsMoreArguments = false; //!< Takes more words than that, too.
    std::vector<std::string_view> flags; //!< Names of the Abseil flags that it takes.
    int (*run)(std::span<const std::string> arguments); //!< Returns the exit code.
};

/*!
    Finds the command that \a words name, parses its flags and runs it. Returns the exit code;
    ExitUsage after printing what is wrong if the words are not valid.
*/
int runCommandLine(std::span<const Command> commands, std::span<const std::string> words);

} // namespace sesame
