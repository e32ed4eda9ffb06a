// Settings of the programs pipitspool-router and pipitspool-config-store: a file of "key = value" lines, and flags of
// the same names, which take precedence (§2.3). Read once, before any other thread starts.
#pragma once
#include <string>
#include <vector>

#include "base/error.h"
#include "base/micros.h"

namespace pipit {

// Validated settings; addresses have the form IP:port.
struct Settings {
  std::string file;  // the settings file; empty without one
  std::string name;  // name of the node, unique in the cluster
  std::string cluster;
  std::string zone;
  std::string mesh;                          // address on which peers connect
  std::string http;                          // address for clients and operators
  std::string platform;                      // address of the platform's worker list; routers only
  std::string data_directory;                // data folder; replicas only
  std::string log;                           // log file; empty for standard output
  std::vector<std::string> seeds;            // addresses of other nodes
  std::vector<std::string> models;           // models that a router serves; all if empty
  std::vector<std::string> initial_members;  // names of the initial replicas
  Micros grace = seconds(2);                 // time after SIGTERM in which requests are still accepted
  Micros drain = seconds(10);                // time that a planned stop allows for requests in flight
  std::size_t max_body_bytes = 4u << 20;     // largest request body, in bytes
  std::size_t memory_bytes = 1000000000;     // memory that the process may use
  std::size_t descriptors = 0;               // descriptors that it may open; 0: what the system allows
  bool faults = false;                       // whether fault points may be armed
  bool help = false;                         // --help was given; only help_text is set then
  std::string help_text;
};

// Reads and validates the flags and the settings file; an error's message names the key. 'replica' selects the program
// (config store or router), each of which accepts only its own keys. For a replica the data folder is created if it is
// missing.
Result<Settings> read_settings(int argc, char const* const* argv, bool replica);

}  // namespace pipit
