// Settings of the programs router and config_store: one file of "key = value" lines, and flags of the same names, which
// take precedence (§2.3). Read once, before any thread starts.
#pragma once
#include <string>
#include <vector>

#include "base/error.h"
#include "base/micros.h"

namespace pipit {

// Checked settings; addresses are IP:port.
struct Settings {
  std::string file;  // the settings file; empty without one
  std::string name;  // the node's, unique in the cluster
  std::string cluster;
  std::string zone;
  std::string mesh;                          // the address that peers dial
  std::string http;                          // the address for callers and operators
  std::string platform;                      // the address of the platform's list of workers; routers only
  std::string data_directory;                // the one data folder; replicas only
  std::string log;                           // a file, or empty for standard output
  std::vector<std::string> seeds;            // addresses of other nodes
  std::vector<std::string> models;           // that a router serves; all when empty
  std::vector<std::string> initial_members;  // names of the first replicas
  Micros grace = seconds(2);                 // after SIGTERM, in which requests are still taken
  Micros drain = seconds(10);                // that a planned stop gives to work in flight
  std::size_t max_body_bytes = 4u << 20;     // bytes of the largest body that a caller may send
  bool faults = false;                       // whether fault points may be armed
  bool help = false;                         // the help text was asked for; nothing else is set then
  std::string help_text;
};

// Reads flags and the settings file and checks them; the error's sentence names the key. 'replica' says which program
// asks: each takes only its own keys.
Result<Settings> read_settings(int argc, char const* const* argv, bool replica);

}  // namespace pipit
