// A model worker's engine under whatever clock it is given: batches, prompts read in pieces, kept parts, a queue.
// A core without I/O: it takes requests and the time, and gives what happened.
#pragma once
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <vector>

#include "base/micros.h"

namespace pipit::platform_fleet {

struct EngineConfig {
  std::int64_t slots = 8;
  std::int64_t queue_limit = 24;
  std::int64_t cache_tokens = 60000;
  std::int64_t prefill_chunk = 2048;         // prompt tokens read in one step at most
  std::int64_t tokens_per_event = 5;         // tokens in one event
  double step_us = 4000;                     // microseconds of a step that does nothing else
  double step_us_per_request = 20;           // more for each request in the batch
  double step_us_per_thousand_tokens = 2.5;  // more for each thousand tokens that the batch holds
  double prefill_tokens_per_ms = 68;         // prompt tokens read in a millisecond
  Micros prefill_delay = 0;                  // before the first piece of a prompt is read
};

// One part of a prompt. The id stands for the part and all before it.
struct PromptPart {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

struct Generation {
  std::uint64_t id = 0;
  int priority = 5;  // 0 goes first
  std::vector<PromptPart> parts;
  std::int64_t prompt_tokens = 0;    // tokens; what the parts do not hold is read too, and not kept
  std::int64_t output_tokens = 1;    // tokens of the whole answer
  std::int64_t received_events = 0;  // of the answer that the caller has already; it goes on behind them
  Micros deadline = 0;               // until when it may work
};

struct EngineEvent {
  enum class Kind : std::uint8_t {
    part_prefilled,        // a part was read: id is the part's, number its tokens
    first_token,           // the first token of this run
    stream_event,          // number is the event's
    completed,             // its last event has been made
    expired_in_queue,      // its time was over in the queue: it never ran
    expired_while_running  // its time was over while it ran
  };
  Kind kind = Kind::stream_event;
  std::uint64_t id = 0;
  std::int64_t number = 0;
  Micros at = 0;
};

class Engine {
 public:
  enum class Admission : std::uint8_t { queued, full, too_large };
  explicit Engine(EngineConfig config) : config_(config) {}

  Admission submit(Generation generation, Micros now);
  // Its caller has left. False when it is not here any more.
  bool cancel(std::uint64_t id);
  // Everything that was due until now, in order.
  void advance(Micros now, std::vector<EngineEvent>& out);
  // When something is due next; -1 for never.
  Micros next_step_end() const { return step_end_; }

  std::int64_t queued() const { return static_cast<std::int64_t>(queue_.size()); }
  std::int64_t running() const { return static_cast<std::int64_t>(batch_.size()); }
  // Tokens in memory that cannot give way.
  std::int64_t pinned_tokens() const { return pinned_tokens_ + private_tokens_; }
  std::int64_t cached_tokens() const { return cached_tokens_; }
  bool is_cached(std::uint64_t part) const { return parts_.count(part) > 0; }

  std::int64_t tokens_prefilled = 0;
  std::int64_t cached_tokens_reused = 0;  // of prompts, since they were kept
  std::int64_t preemptions = 0;           // requests that lost their place for want of memory

 private:
  struct Sequence {
    Generation generation;
    std::int64_t arrival = 0;             // of its arrival
    Micros prefill_start = 0;             // its prompt may be read from then on
    std::int64_t remaining_prefill = 0;   // tokens still to read
    std::int64_t private_tokens = 0;      // tokens in memory that are no kept part
    std::int64_t step_prefill = 0;        // tokens read in the present step
    bool decoding = false;                // it makes a token in the present step
    std::size_t next_part = 0;            // the first part that is not read yet
    std::int64_t next_part_progress = 0;  // tokens of it that are
    std::vector<std::uint64_t> pinned_parts;
    std::int64_t generated = 0;  // tokens of the answer so far
    bool has_generated = false;
  };
  struct CachedPart {
    std::int64_t tokens = 0;
    int reference_count = 0;
    std::list<std::uint64_t>::iterator recency_position;
  };
  static bool precedes(Sequence const& a, Sequence const& b);
  void enqueue(Sequence sequence);
  void admit(Micros now);
  void begin_step(Micros now);
  void end_step(Micros at, std::vector<EngineEvent>& out);
  void prefill(Sequence& sequence, std::int64_t tokens, Micros at, std::vector<EngineEvent>& out);
  void decode_token(Sequence& sequence, Micros at, std::vector<EngineEvent>& out);
  void pin(Sequence& sequence, std::uint64_t part);
  void release_memory(Sequence& sequence);
  bool make_room(std::int64_t tokens);
  std::int64_t cached_prefix_length(Generation const& generation) const;

  EngineConfig const config_;
  std::list<Sequence> queue_;  // in the order in which they go in
  std::list<Sequence> batch_;  // in the order in which their prompts are read
  std::map<std::uint64_t, CachedPart> parts_;
  std::list<std::uint64_t> recency_;  // of kept parts, the longest unused first
  std::int64_t cached_tokens_ = 0;
  std::int64_t pinned_tokens_ = 0;
  std::int64_t private_tokens_ = 0;
  std::int64_t arrivals_ = 0;
  Micros step_end_ = -1;
};

}  // namespace pipit::platform_fleet
