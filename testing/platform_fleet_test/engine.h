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

struct EngineShape {
  std::int64_t slots = 8;
  std::int64_t queue = 24;
  std::int64_t cache_tokens = 60000;
  std::int64_t chunk = 2048;       // prompt tokens read in one step at most
  std::int64_t stride = 5;         // tokens in one event
  double step = 4000;              // microseconds of a step that does nothing else
  double step_per_request = 20;    // more for each request in the batch
  double step_per_thousand = 2.5;  // more for each thousand tokens that the batch holds
  double tokens_per_ms = 68;       // prompt tokens read in a millisecond
  Micros setup = 0;                // before the first piece of a prompt is read
};

// One part of a prompt. The id stands for the part and all before it.
struct Part {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

struct Generation {
  std::uint64_t id = 0;
  int rank = 5;  // 0 goes first
  std::vector<Part> parts;
  std::int64_t prompt = 0;  // tokens; what the parts do not hold is read too, and not kept
  std::int64_t out = 1;     // tokens of the whole answer
  std::int64_t events = 0;  // of the answer that the caller has already; it goes on behind them
  Micros due = 0;           // until when it may work
};

struct Happening {
  enum class What : std::uint8_t {
    read,     // a part was read: id is the part's, number its tokens
    began,    // the first token of this run
    event,    // number is the event's
    done,     // its last event has been made
    expired,  // its time was over in the queue: it never ran
    late      // its time was over while it ran
  };
  What what = What::event;
  std::uint64_t id = 0;
  std::int64_t number = 0;
  Micros at = 0;
};

class Engine {
 public:
  enum class Admission : std::uint8_t { queued, full, too_large };
  explicit Engine(EngineShape shape_) : shape(shape_) {}

  Admission submit(Generation generation, Micros now);
  // Its caller has left. False when it is not here any more.
  bool cancel(std::uint64_t id);
  // Everything that was due until now, in order.
  void advance(Micros now, std::vector<Happening>& out);
  // When something is due next; -1 for never.
  Micros next() const { return step_end; }

  std::int64_t waiting() const { return static_cast<std::int64_t>(queue.size()); }
  std::int64_t running() const { return static_cast<std::int64_t>(batch.size()); }
  // Tokens in memory that cannot give way.
  std::int64_t used() const { return pinned + loose; }
  std::int64_t kept() const { return kept_tokens; }
  bool keeps(std::uint64_t part) const { return parts.count(part) > 0; }

  std::int64_t tokens_read = 0;
  std::int64_t tokens_spared = 0;  // of prompts, since they were kept
  std::int64_t put_back = 0;       // requests that lost their place for want of memory

 private:
  struct Running {
    Generation generation;
    std::int64_t order = 0;     // of its arrival
    Micros ready = 0;           // its prompt may be read from then on
    std::int64_t missing = 0;   // tokens still to read
    std::int64_t loose = 0;     // tokens in memory that are no kept part
    std::int64_t taking = 0;    // tokens read in the present step
    bool decoding = false;      // it makes a token in the present step
    std::size_t part = 0;       // the first part that is not read yet
    std::int64_t progress = 0;  // tokens of it that are
    std::vector<std::uint64_t> pins;
    std::int64_t made = 0;  // tokens of the answer so far
    bool began = false;
  };
  struct Kept {
    std::int64_t tokens = 0;
    int users = 0;
    std::list<std::uint64_t>::iterator place;
  };
  static bool before(Running const& a, Running const& b);
  void enqueue(Running running);
  void admit(Micros now);
  void begin_step(Micros now);
  void end_step(Micros at, std::vector<Happening>& out);
  void read(Running& running, std::int64_t tokens, Micros at, std::vector<Happening>& out);
  void make_token(Running& running, Micros at, std::vector<Happening>& out);
  void pin(Running& running, std::uint64_t part);
  void release(Running& running);
  bool evict_for(std::int64_t tokens);
  std::int64_t lead_of(Generation const& generation) const;

  EngineShape const shape;
  std::list<Running> queue;  // in the order in which they go in
  std::list<Running> batch;  // in the order in which their prompts are read
  std::map<std::uint64_t, Kept> parts;
  std::list<std::uint64_t> recency;  // of kept parts, the longest unused first
  std::int64_t kept_tokens = 0;
  std::int64_t pinned = 0;
  std::int64_t loose = 0;
  std::int64_t arrivals = 0;
  Micros step_end = -1;
};

}  // namespace pipit::platform_fleet
