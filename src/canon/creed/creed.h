// The creed: one whole description of pools and lanes, checked and compiled (§5.1).
#pragma once
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "canon/tongue/tongue.h"

namespace pipit {

struct Pool {
  std::string name;
  std::string model;
  std::int64_t slots = 60;           // requests that one worker runs at once, unless the list says otherwise
  std::int64_t cold = 4;             // sends in one second that a cold worker bears
  Micros cold_span = seconds(10);    // for how long a woken worker counts as cold
  std::int64_t cache_blocks = 4096;  // blocks of prompt that one worker is believed to keep
  Micros cache_age = seconds(900);   // for how long it is believed to
  Micros block_cost = 3000;          // time to read one block that is not kept
  Micros service = seconds(2);       // how long a request holds a slot, to begin with
};

struct Lane {
  std::string name;
  Binding binding;
  Policy policy;
};

struct Creed {
  std::vector<Pool> pools;
  std::vector<Lane> lanes;
  Micros locality_cost = millis(40);  // what sending to another zone is held to cost
  Pool const* pool(std::string_view name) const;
  Lane const* lane(std::string_view name) const;
};

constexpr std::size_t creed_limit = 2u << 20;

// The check of `decree check` and of every node that proposes or learns a description.
Result<std::shared_ptr<Creed const>> read_creed(std::string_view text);

}  // namespace pipit
