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

// The attributes of a request that conditions can test.
struct RequestAttributes {
  std::string model;
  std::string user;
  std::string zone;             // zone of the node that received the request
  std::int64_t size = 0;        // size of the request body, in bytes
  std::int64_t max_tokens = 0;  // max_tokens of the request; 0 if not given
  bool stream = false;          // whether a streamed answer is requested
};

// A compiled condition: instructions for a small stack machine. A condition without instructions is always true.
class Condition {
 public:
  // The operations that test a field come first, up to is_set.
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
  // One instruction; it pops its operands from the stack and pushes its result.
  struct Instruction {
    Operation operation;
    std::uint8_t field = 0;   // a Field (condition_fields.h), for operations that test one
    std::int64_t number = 0;  // the constant that a number field is compared with
    std::string text;         // the constant that a text field is compared with
  };

  // Returns whether the condition is true. load_percent: the share of busy slots in the pool that the `when` belongs
  // to.
  bool matches(RequestAttributes const& attributes, std::int64_t load_percent) const;
  // Returns whether any instruction tests the pool's load.
  bool reads_load() const;

  std::vector<Instruction> instructions;
};

// A compiled binding: the requests that a lane accepts, and the pools that may serve them in order of preference.
struct Binding {
  // One pool, and the condition under which it may serve a request.
  struct Choice {
    std::string pool;
    std::size_t offset = 0;  // byte offset of the pool's name in the text, for error messages
    Condition when;
  };
  Condition match;
  std::vector<Choice> pools;
};

// How the zone of a worker affects placement: the node's own zone is preferred, required or ignored.
enum class Locality : std::uint8_t { prefer, only, any };

// A compiled policy: how the requests of a lane are handled. The initial values are the defaults.
struct Policy {
  Micros queue_timeout = seconds(2);        // longest time in the backlog
  Micros first_byte_timeout = seconds(30);  // longest time until the first byte
  Micros stall_timeout = seconds(15);       // longest pause between two chunks of an answer
  std::int64_t urgency = 5;                 // 0 to 9; a higher number is served first
  std::int64_t max_backlog = 100;           // most waiting requests
  std::int64_t max_attempts = 2;            // most attempts, including the first
  bool repeatable = false;                  // whether a request may run more than once
  Locality locality = Locality::prefer;
};

// Compile a binding or policy text; errors have the code bad_language and the location in the text.
Result<Binding> compile_binding(std::string_view text);
Result<Policy> compile_policy(std::string_view text);

// Returns the location of a byte offset in a text, as in "line 1, column 7".
std::string line_and_column(std::string_view text, std::size_t offset);

}  // namespace pipit
