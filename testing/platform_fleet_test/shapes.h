// The sizes of what an experiment plays: two like the users' small sites, and a tiny one for tests.
#pragma once
#include <string>
#include <vector>

#include "base/micros.h"
#include "testing/platform_fleet_test/engine.h"

namespace pipit::platform_fleet {

// A figure with a mean and a spread (standard deviation over mean), log-normal, never above its most.
struct Spread {
  double mean = 0;
  double spread = 0;
  double max = 0;
};

// A shared part of prompts: one of 'things' texts, the first ones asked for more often by 'skew'.
struct SharedPart {
  Spread tokens;
  std::size_t variants = 1;
  double skew = 0;
};

struct RequestClass {
  std::string name;
  std::string host;
  std::string path_prefix;
  bool resumable = false;
  Micros latency_target = 0;
  Micros deadline = 0;
  Micros max_gap = 0;
  double value = 1;
  double late_value = 0;
  int priority = 0;
  int max_attempts = 1;
  int retries = 1;
  std::size_t body_bytes = 1000;
  Spread events;
  Spread own_tokens;
  std::vector<SharedPart> shared;
  double per_second = 0;  // over all zones
};

struct Zone {
  std::string name;
  int core_nodes = 1;
  int plain_nodes = 1;
  int workers = 4;
  double share = 1;  // of all requests
  int clients = 10;
  double phase = 0;  // of its wave, in parts of a period
};

struct Shape {
  std::string name;
  std::string service;
  std::string model;
  std::vector<Zone> zones;
  EngineConfig engine;
  Micros report_lag = millis(200);
  std::int64_t connection_limit = 300;
  std::vector<RequestClass> classes;
  double swing = 0.15;
  Micros period = seconds(11);
  int clump = 3;
  double retry_ratio = 0.2;
  int extra_retries = 58;
};

// nullptr when there is none of that name.
Shape const* shape_of(std::string const& name);
std::string shape_names();

}  // namespace pipit::platform_fleet
