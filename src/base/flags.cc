#include "base/flags.h"

#include <cstdio>

namespace pipit {

namespace options = boost::program_options;

std::optional<int> read_flags(char const* program, int argc, char** argv, options::options_description const& flags,
                              std::function<void()> const& print_help,
                              options::positional_options_description const* positional) {
  constexpr int bad_input = 2;
  try {
    options::command_line_parser parser(argc, argv);
    parser.options(flags);
    if (positional != nullptr) parser.positional(*positional);
    options::variables_map given;
    options::store(parser.run(), given);
    options::notify(given);
    if (given.count("help") == 0) return std::nullopt;
  } catch (options::error const& bad) {
    std::fprintf(stderr, "%s: %s\n", program, bad.what());
    return bad_input;
  }
  print_help();
  return 0;
}

}  // namespace pipit
