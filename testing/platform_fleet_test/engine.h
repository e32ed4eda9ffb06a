// Model of an inference engine: continuous batching, chunked prefill, a prefix cache and a bounded queue.
// It does no I/O and reads no clock: the caller passes requests and the time, and receives the resulting events.
#pragma once
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <vector>

#include "base/micros.h"

namespace pipit::platform_fleet {

// Capacity and speed of an engine.
struct EngineConfig {
  std::int64_t slots = 8;                    // maximum requests in the batch
  std::int64_t queue_limit = 24;             // maximum requests queued beyond the free slots
  std::int64_t cache_tokens = 60000;         // memory: cached prompt parts and private tokens together
  std::int64_t prefill_chunk = 2048;         // maximum prompt tokens processed in one step, over the batch
  std::int64_t tokens_per_event = 5;         // output tokens per stream event
  double step_us = 4000;                     // base duration of a step, in microseconds
  double step_us_per_request = 20;           // added for each request in the batch
  double step_us_per_thousand_tokens = 2.5;  // added for each thousand tokens held by the batch
  double prefill_tokens_per_ms = 68;         // prompt tokens processed per millisecond
  Micros prefill_delay = 0;                  // delay between admission and the first chunk of a prompt
};

// One part of a prompt. The id identifies the part together with all parts before it.
struct PromptPart {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

// A request to the engine.
struct Generation {
  std::uint64_t id = 0;
  int priority = 5;  // 0 is the most urgent
  std::vector<PromptPart> parts;
  std::int64_t prompt_tokens = 0;    // may exceed the sum of the parts; the surplus is processed too, but not cached
  std::int64_t output_tokens = 1;    // of the complete answer
  std::int64_t received_events = 0;  // events that the client already has; the stream resumes after them
  Micros deadline = 0;               // the engine drops the request at this time
};

// Something that happened in the engine. `id` is the id of the generation unless noted at the kind.
struct EngineEvent {
  enum class Kind : std::uint8_t {
    part_prefilled,        // a prompt part was processed: id is the part's id, number its tokens
    first_token,           // the first output token of this run was produced
    stream_event,          // a stream event was produced: number is its number in the answer
    completed,             // the last event was produced
    expired_in_queue,      // the deadline passed in the queue; the request never ran
    expired_while_running  // the deadline passed after the run had begun
  };
  Kind kind = Kind::stream_event;
  std::uint64_t id = 0;
  std::int64_t number = 0;
  Micros at = 0;
};

// The engine of one worker. Time must not run backwards between calls.
class Engine {
 public:
  enum class Admission : std::uint8_t { queued, full, too_large };
  explicit Engine(EngineConfig config) : config_(config) {}

  // Queues a request, and starts a step if the engine is idle. A request counts against the queue limit only if no
  // slot is free for it.
  Admission submit(Generation generation, Micros now);
  // Drops a request whose client has disconnected. Returns false if the engine does not hold it any more.
  bool cancel(std::uint64_t id);
  // Runs all steps that end by `now` and appends their events to `out`, in order.
  void advance(Micros now, std::vector<EngineEvent>& out);
  // End of the current step; -1 if the engine is idle.
  Micros next_step_end() const { return step_end_; }

  std::int64_t queued() const { return static_cast<std::int64_t>(queue_.size()); }
  std::int64_t running() const { return static_cast<std::int64_t>(batch_.size()); }
  // Tokens in memory that cannot be evicted: cached parts in use, and tokens private to a request.
  std::int64_t pinned_tokens() const { return pinned_tokens_ + private_tokens_; }
  // Tokens of all cached prompt parts, in use or not.
  std::int64_t cached_tokens() const { return cached_tokens_; }
  bool is_cached(std::uint64_t part) const { return parts_.count(part) > 0; }

  std::int64_t tokens_prefilled = 0;      // prompt tokens processed
  std::int64_t cached_tokens_reused = 0;  // prompt tokens not processed, because their parts were cached
  std::int64_t preemptions = 0;           // requests moved from the batch back to the queue for lack of memory

 private:
  // A request in the queue or the batch.
  struct Sequence {
    Generation generation;
    std::int64_t arrival = 0;             // arrival number; breaks ties between equal priorities
    Micros prefill_start = 0;             // earliest time at which its prompt is processed
    std::int64_t remaining_prefill = 0;   // tokens still to process
    std::int64_t private_tokens = 0;      // tokens in memory that belong to no cached part
    std::int64_t step_prefill = 0;        // tokens processed in the current step
    bool decoding = false;                // produces a token in the current step
    std::size_t next_part = 0;            // index of the first part that is not fully processed
    std::int64_t next_part_progress = 0;  // tokens of that part processed so far
    std::vector<std::uint64_t> pinned_parts;
    std::int64_t generated = 0;  // output tokens, with those of events that the client already had
    bool has_generated = false;
  };
  // A cached prompt part. It can be evicted while its reference count is 0.
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
  std::list<Sequence> queue_;  // in order of admission: by priority, then by arrival
  std::list<Sequence> batch_;  // in order of prefill: by priority, then by arrival
  std::map<std::uint64_t, CachedPart> parts_;
  std::list<std::uint64_t> recency_;  // cached parts, least recently used first
  std::int64_t cached_tokens_ = 0;
  std::int64_t pinned_tokens_ = 0;
  std::int64_t private_tokens_ = 0;
  std::int64_t arrivals_ = 0;
  Micros step_end_ = -1;
};

}  // namespace pipit::platform_fleet
