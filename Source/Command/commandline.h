#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

//! Exit codes of the program.
enum ExitCode : int { ExitSuccess = 0, ExitFailure = 1, ExitUsage = 2, ExitConflict = 3 };

/*!
    A subcommand of the program.
*/
struct Command
{
    std::string_view name; //!< One or two words, for example "report burn".
    std::string_view synopsis; //!< Arguments and flags, as in docs/operators.md.
    std::string_view help; //!< Text that --help prints after the synopsis.
    std::size_t argumentCount; //!< Required number of arguments, not counting flags.
    bool acceptsMoreArguments = false; //!< Whether more arguments than that are accepted.
    std::vector<std::string_view> flags; //!< Names of the Abseil flags that the command accepts.
    //! Runs the command and returns the exit code.
    int (*run)(std::span<const std::string> arguments);
};

/*!
    Finds the command whose name starts \a words, parses its flags and runs it. Returns its exit
    code. If the command line is not valid, prints an error and returns ExitUsage.
*/
int runCommandLine(std::span<const Command> commands, std::span<const std::string> words);

} // namespace sesame
