// The small language of bindings and policies, with its compiler (§5.2).
//
//   binding:  match COND ; pool NAME [when COND] ; pool NAME ...
//   policy:   wait 2s ; urgency 5 ; repeat never ; backlog 100 ; tries 2 ; answer 30s ; stall 15s ; locality prefer
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ground/kinds.h"
#include "ground/micros.h"

namespace pipit {

// What a condition can look at.
struct Facts {
  std::string model;
  std::string user;
  std::string zone;         // of the node that was asked
  std::int64_t size = 0;    // bytes of the caller's body
  std::int64_t output = 0;  // tokens asked for, 0 when not said
  bool stream = false;
};

// A compiled condition: a list of steps for a small stack.
class Program {
 public:
  enum class Op : std::uint8_t {
    text_is,
    text_not,
    text_starts,
    less,
    most,
    more,
    least,
    same,
    other,
    truth,
    both,
    either,
    negate,
    always
  };
  struct Step {
    Op op;
    std::uint8_t field = 0;
    std::int64_t number = 0;
    std::string text;
  };
  // demand: of the pool that a 'when' belongs to, in hundredths of its slots.
  bool holds(Facts const& facts, std::int64_t demand) const;
  std::vector<Step> steps;
};

struct Binding {
  struct Choice {
    std::string pool;
    std::size_t spot = 0;  // where its name stands in the text, for messages
    Program when;
  };
  Program match;
  std::vector<Choice> pools;
};

enum class Locality : std::uint8_t { prefer, only, any };

struct Policy {
  Micros wait = seconds(2);
  Micros answer = seconds(30);
  Micros stall = seconds(15);
  std::int64_t urgency = 5;
  std::int64_t backlog = 100;
  std::int64_t tries = 2;
  bool safe = false;
  Locality locality = Locality::prefer;
};

Result<Binding> compile_binding(std::string_view text);
Result<Policy> compile_policy(std::string_view text);
// "line 1, column 7" of a byte in a text.
std::string place_of(std::string_view text, std::size_t spot);

}  // namespace pipit
