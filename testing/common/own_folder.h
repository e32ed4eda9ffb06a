// Where the running program is: other programs of the same build lie beside it.
#pragma once
#include <filesystem>
#include <string>

namespace pipit {

inline std::string own_folder() {
  std::error_code wrong;
  std::filesystem::path const program = std::filesystem::read_symlink("/proc/self/exe", wrong);
  return wrong ? "." : program.parent_path().string();
}

}  // namespace pipit
