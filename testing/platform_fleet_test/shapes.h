// Sizes and loads of the simulated sites: two that resemble the users' small sites, and smaller ones for tests.
#pragma once
#include <string>
#include <vector>

#include "base/micros.h"
#include "testing/platform_fleet_test/engine.h"

namespace pipit::platform_fleet {

// A log-normal distribution, cut off at `max`. `spread` is the standard deviation divided by the mean.
struct Spread {
  double mean = 0;
  double spread = 0;
  double max = 0;
};

// A prompt part that requests share: one of `variants` texts. Text i (from 1) is chosen with weight i^-skew.
struct SharedPart {
  Spread tokens;
  std::size_t variants = 1;
  double skew = 0;
};

// A kind of request: its routing, its value to the client and its size.
struct RequestClass {
  std::string name;
  std::string host;
  std::string path_prefix;
  bool resumable = false;
  Micros latency_target = 0;
  Micros deadline = 0;
  Micros max_gap = 0;     // longest pause between events that the client accepts
  double value = 1;       // when served within the target
  double late_value = 0;  // when served late
  int priority = 0;
  int max_attempts = 1;
  int retries = 1;
  std::size_t body_bytes = 1000;
  Spread events;
  Spread own_tokens;
  std::vector<SharedPart> shared;
  double per_second = 0;  // requests per second, over all zones
};

// A zone of a shape, with its machines and its share of the load.
struct Zone {
  std::string name;
  int core_nodes = 1;
  int plain_nodes = 1;
  int workers = 4;
  double share = 1;  // of all requests
  int clients = 10;
  double phase = 0;  // phase of its load wave, as a fraction of the period
};

// What a site promises its users, and what its nodes are told of it. The defaults are those of the small sites.
struct SiteBounds {
  Micros in_touch = seconds(3);          // without a fault, until a node is judged by the bounds of time again
  Micros acknowledge = seconds(4);       // of a change, while all nodes are in touch
  Micros configuration = seconds(2);     // from the acknowledgement of a change until it is in force
  Micros downgrade_slack = millis(250);  // after a version's effect was seen, until no older one may be in force
  Micros drain = seconds(2);             // from the acknowledgement of a worker's end to its last request
  Micros pass_duration = millis(120);    // of an event of a stream, from the worker to the client
  int tolerated_machines = 1;            // with a disk, that may be lost at once
  double core_processor_share = 0.45;
  double plain_processor_share = 0.45;
};

// A simulated site.
struct Shape {
  std::string name;
  std::string service;
  std::string model;
  std::vector<Zone> zones;
  EngineConfig engine;
  Micros report_lag = millis(200);  // age of the load reports that workers serve
  std::int64_t connection_limit = 300;
  std::vector<RequestClass> classes;
  double swing = 0.15;              // amplitude of the load wave, relative to the mean rate
  Micros period = seconds(11);      // of the load wave
  int clump = 3;                    // mean number of requests that arrive together
  double retry_ratio = 0.2;         // bound of repeated arrivals, as a share of the attempts; see Judge::check_retries
  int extra_retries = 58;           // added to that bound
  std::size_t max_idle_routes = 4;  // routes without client traffic; a change beyond them removes the oldest
  SiteBounds bounds;
};

// The shape of that name; nullptr if there is none.
Shape const* shape_of(std::string const& name);
// Names of all shapes, separated by commas.
std::string shape_names();

}  // namespace pipit::platform_fleet
