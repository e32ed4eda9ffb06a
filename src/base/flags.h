// Reading the command line of a tool.
#pragma once
#include <boost/program_options.hpp>
#include <functional>
#include <optional>

namespace pipit {

// Writes a command line into the variables that the flags name. Returns the exit code of a tool that ends here: 0 after
// --help, for which 'print_help' is called, and 2 after a bad flag, which is named on the error output. Nothing when
// the tool is to run. Words without a flag are bad unless 'positional' says what they are.
std::optional<int> read_flags(char const* program, int argc, char** argv,
                              boost::program_options::options_description const& flags,
                              std::function<void()> const& print_help,
                              boost::program_options::positional_options_description const* positional = nullptr);

}  // namespace pipit
