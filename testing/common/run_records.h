// The run records of the stand-in workers: every run that began, ended or was cut (§10.1).
#pragma once
#include <dirent.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "base/micros.h"

namespace pipit {

struct RunRecord {
  char what = ' ';  // W woke, S began, E ended, X cut
  std::string tag;
  Micros at = 0;
  std::int64_t n = 0;
  std::string worker;
};

inline std::vector<RunRecord> read_run_records(std::string const& folder) {
  std::vector<RunRecord> out;
  DIR* const dir = ::opendir(folder.c_str());
  if (dir == nullptr) return out;
  while (dirent const* const item = ::readdir(dir)) {
    std::string const name = item->d_name;
    if (name.size() < 5 || name.substr(name.size() - 5) != ".book") continue;
    std::ifstream file(folder + "/" + name);
    std::string line;
    while (std::getline(file, line)) {
      std::stringstream fields(line);
      RunRecord entry;
      if (fields >> entry.what >> entry.tag >> entry.at >> entry.n >> entry.worker) out.push_back(entry);
    }
  }
  ::closedir(dir);
  return out;
}

}  // namespace pipit
