// The rule language of the operators' description (§5.2): conditions, bindings and policies, and their compiler.
//
//   binding:  match CONDITION ; pool NAME [when CONDITION] ; pool NAME ...
//   policy:   wait 2s ; urgency 5 ; repeat never ; backlog 100 ; tries 2 ; answer 30s ; stall 15s ; locality prefer
//
// Compiled rules are plain values without references into the text. Nothing here does I/O.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/micros.h"

namespace pipit {

// What a condition can look at: the facts of one request.
struct RequestAttributes {
  std::string model;
  std::string user;
  std::string zone;             // of the node that was asked
  std::int64_t size = 0;        // bytes of the caller's body
  std::int64_t max_tokens = 0;  // tokens asked for, 0 when not said
  bool stream = false;
};

// A compiled condition: instructions for a small stack machine. Without instructions it holds always.
class Condition {
 public:
  // Those that compare a field come first, up to is_set.
  enum class Operation : std::uint8_t {
    text_equal,
    text_not_equal,
    text_starts_with,
    less,
    less_or_equal,
    greater,
    greater_or_equal,
    equal,
    not_equal,
    is_set,
    logical_and,
    logical_or,
    logical_not,
    always
  };
  // One instruction; it takes its operands from the stack and leaves its result there.
  struct Instruction {
    Operation operation;
    std::uint8_t field = 0;   // a Field (condition_fields.h), for those that compare one
    std::int64_t number = 0;  // what a number is compared with
    std::string text;         // what a text is compared with
  };

  // Whether the condition is true. load_percent: the busy part of the slots of the pool that a `when` belongs to.
  bool matches(RequestAttributes const& facts, std::int64_t load_percent) const;
  // Whether any instruction looks at the pool's load.
  bool reads_load() const;

  std::vector<Instruction> instructions;
};

// Which requests a lane takes, and the pools that may serve them, the preferred first.
struct Binding {
  struct Choice {
    std::string pool;
    std::size_t offset = 0;  // of the pool's name in the text, for messages
    Condition when;
  };
  Condition match;
  std::vector<Choice> pools;
};

// How much a worker's zone counts: nearer ones first, only the same zone, or not at all.
enum class Locality : std::uint8_t { prefer, only, any };

// How the requests of a lane are treated; the values here stand for words that a policy leaves out.
struct Policy {
  Micros queue_timeout = seconds(2);        // longest time in the queue
  Micros first_byte_timeout = seconds(30);  // longest time until the first byte
  Micros stall_timeout = seconds(15);       // longest pause between two pieces
  std::int64_t urgency = 5;                 // 0 to 9; the higher goes first
  std::int64_t max_backlog = 100;           // most requests that wait
  std::int64_t max_attempts = 2;            // most attempts, the first with them
  bool repeatable = false;                  // whether the work may be repeated
  Locality locality = Locality::prefer;
};

// Compile one text of the description; errors have the kind bad_language and the place in the text.
Result<Binding> compile_binding(std::string_view text);
Result<Policy> compile_policy(std::string_view text);

// "line 1, column 7" of a byte in a text.
std::string line_and_column(std::string_view text, std::size_t offset);

}  // namespace pipit
