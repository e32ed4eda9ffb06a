// Settings: one file of "key = value" lines, and flags of the same names that go before it (§2.3).
#pragma once
#include <string>
#include <vector>

#include "base/error.h"
#include "base/micros.h"

namespace pipit {

struct Settings {
  std::string file;
  std::string name;
  std::string cluster;
  std::string zone;
  std::string mesh;      // IP:port that peers dial
  std::string http;      // IP:port for callers and operators
  std::string platform;  // IP:port of the platform's list (passage)
  std::string data;      // the one data folder (accord)
  std::string log;       // a file, or empty for standard output
  std::vector<std::string> seeds;
  std::vector<std::string> models;
  std::vector<std::string> initial_members;
  Micros grace = seconds(2);
  Micros drain = seconds(10);
  std::size_t body = 4u << 20;  // the largest body a caller may send
  bool faults = false;
  bool help = false;
  std::string help_text;
};

// 'replica' says which program asks: each takes only its own keys.
Result<Settings> read_settings(int argc, char const* const* argv, bool replica);

}  // namespace pipit
