// Parses the command line of a tool.
#pragma once
#include <boost/program_options.hpp>
#include <functional>
#include <optional>

namespace pipit {

// Parses a command line into the variables bound to 'flags'. Returns nullopt if the tool is to run, else its exit code:
// 0 after --help, for which 'print_help' is called, and 2 after an invalid flag, which is reported on standard error.
// Positional arguments are invalid unless 'positional' describes them.
std::optional<int> read_flags(char const* program, int argc, char** argv,
                              boost::program_options::options_description const& flags,
                              std::function<void()> const& print_help,
                              boost::program_options::positional_options_description const* positional = nullptr);

}  // namespace pipit
