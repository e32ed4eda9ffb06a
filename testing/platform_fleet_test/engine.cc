#include "testing/platform_fleet_test/engine.h"

#include <algorithm>

namespace pipit::platform_fleet {

bool Engine::precedes(Sequence const& a, Sequence const& b) {
  return a.generation.priority != b.generation.priority ? a.generation.priority < b.generation.priority
                                                        : a.arrival < b.arrival;
}

void Engine::enqueue(Sequence sequence) {
  std::list<Sequence>::iterator position = queue_.begin();
  while (position != queue_.end() && !precedes(sequence, *position)) ++position;
  queue_.insert(position, std::move(sequence));
}

Engine::Admission Engine::submit(Generation generation, Micros now) {
  if (generation.prompt_tokens + generation.output_tokens > config_.cache_tokens) return Admission::too_large;
  // Requests that enter a free slot at the next step do not count against the queue limit.
  if (queued() - (config_.slots - running()) >= config_.queue_limit) return Admission::full;
  Sequence sequence;
  sequence.generated = std::min(generation.output_tokens, generation.received_events * config_.tokens_per_event);
  sequence.generation = std::move(generation);
  sequence.arrival = ++arrivals_;
  enqueue(std::move(sequence));
  if (step_end_ < 0) begin_step(now);
  return Admission::queued;
}

bool Engine::cancel(std::uint64_t id) {
  for (std::list<Sequence>::iterator at = queue_.begin(); at != queue_.end(); ++at)
    if (at->generation.id == id) {
      queue_.erase(at);
      return true;
    }
  for (std::list<Sequence>::iterator at = batch_.begin(); at != batch_.end(); ++at)
    if (at->generation.id == id) {
      release_memory(*at);
      batch_.erase(at);
      return true;
    }
  return false;
}

// Number of leading parts that are cached without a gap.
std::int64_t Engine::cached_prefix_length(Generation const& generation) const {
  std::size_t prefix_length = 0;
  while (prefix_length < generation.parts.size() && is_cached(generation.parts[prefix_length].id)) ++prefix_length;
  return static_cast<std::int64_t>(prefix_length);
}

void Engine::pin(Sequence& sequence, std::uint64_t part) {
  CachedPart& cached_part = parts_[part];
  if (cached_part.reference_count++ == 0) pinned_tokens_ += cached_part.tokens;
  sequence.pinned_parts.push_back(part);
}

void Engine::release_memory(Sequence& sequence) {
  // Leading parts are marked as used last, so that they are evicted last: without them the parts behind are useless.
  for (std::vector<std::uint64_t>::reverse_iterator id = sequence.pinned_parts.rbegin();
       id != sequence.pinned_parts.rend(); ++id) {
    CachedPart& cached_part = parts_[*id];
    if (--cached_part.reference_count == 0) pinned_tokens_ -= cached_part.tokens;
    recency_.splice(recency_.end(), recency_, cached_part.recency_position);
  }
  sequence.pinned_parts.clear();
  private_tokens_ -= sequence.private_tokens;
  sequence.private_tokens = 0;
}

// Evicts unreferenced parts, least recently used first, until `tokens` more fit. Returns false if they do not fit.
bool Engine::make_room(std::int64_t tokens) {
  std::list<std::uint64_t>::iterator at = recency_.begin();
  while (cached_tokens_ + private_tokens_ + tokens > config_.cache_tokens && at != recency_.end()) {
    std::map<std::uint64_t, CachedPart>::iterator const cached_part = parts_.find(*at);
    if (cached_part->second.reference_count > 0) {
      ++at;
      continue;
    }
    cached_tokens_ -= cached_part->second.tokens;
    parts_.erase(cached_part);
    at = recency_.erase(at);
  }
  return cached_tokens_ + private_tokens_ + tokens <= config_.cache_tokens;
}

void Engine::admit(Micros now) {
  while (!queue_.empty() && running() < config_.slots) {
    Sequence& first = queue_.front();
    std::int64_t const prefix_length = cached_prefix_length(first.generation);
    std::int64_t cached_tokens = 0;
    for (std::int64_t i = 0; i < prefix_length; ++i) {
      PromptPart const& part = first.generation.parts[static_cast<std::size_t>(i)];
      cached_tokens += part.tokens;
      pin(first, part.id);
    }
    std::int64_t const total = first.generation.prompt_tokens + first.generated;
    std::int64_t const uncached_tokens = std::max<std::int64_t>(1, total - cached_tokens);
    if (!make_room(uncached_tokens)) {
      release_memory(first);
      return;
    }
    first.remaining_prefill = uncached_tokens;
    first.private_tokens = uncached_tokens;
    first.next_part = static_cast<std::size_t>(prefix_length);
    first.next_part_progress = 0;
    first.prefill_start = now + config_.prefill_delay;
    private_tokens_ += uncached_tokens;
    cached_tokens_reused += total - uncached_tokens;
    std::list<Sequence>::iterator position = batch_.begin();
    while (position != batch_.end() && !precedes(first, *position)) ++position;
    batch_.splice(position, queue_, queue_.begin());
  }
}

void Engine::begin_step(Micros now) {
  admit(now);
  step_end_ = -1;
  if (batch_.empty()) return;
  std::int64_t chunk_remaining = config_.prefill_chunk;
  std::int64_t resident_tokens = 0;
  bool has_work = false;
  Micros earliest_start = -1;
  for (Sequence& sequence : batch_) {
    sequence.step_prefill = 0;
    sequence.decoding = sequence.remaining_prefill == 0;
    resident_tokens += sequence.generation.prompt_tokens + sequence.generated;
    if (sequence.remaining_prefill > 0 && sequence.prefill_start > now) {
      if (earliest_start < 0 || sequence.prefill_start < earliest_start) earliest_start = sequence.prefill_start;
      continue;
    }
    sequence.step_prefill = std::min(chunk_remaining, sequence.remaining_prefill);
    chunk_remaining -= sequence.step_prefill;
    has_work = has_work || sequence.decoding || sequence.step_prefill > 0;
  }
  if (!has_work) {
    step_end_ = std::max(now + 1, earliest_start);
    return;
  }
  double const duration =
      config_.step_us + config_.step_us_per_request * static_cast<double>(batch_.size()) +
      config_.step_us_per_thousand_tokens * static_cast<double>(resident_tokens) / 1000 +
      static_cast<double>(config_.prefill_chunk - chunk_remaining) * 1000 / config_.prefill_tokens_per_ms;
  step_end_ = now + std::max<Micros>(1, static_cast<Micros>(duration));
}

void Engine::prefill(Sequence& sequence, std::int64_t tokens, Micros at, std::vector<EngineEvent>& out) {
  sequence.remaining_prefill -= tokens;
  tokens_prefilled += tokens;
  while (tokens > 0 && sequence.next_part < sequence.generation.parts.size()) {
    PromptPart const& part = sequence.generation.parts[sequence.next_part];
    std::int64_t const processed = std::min(tokens, part.tokens - sequence.next_part_progress);
    sequence.next_part_progress += processed;
    tokens -= processed;
    if (sequence.next_part_progress < part.tokens) return;
    sequence.next_part_progress = 0;
    ++sequence.next_part;
    out.push_back({EngineEvent::Kind::part_prefilled, part.id, part.tokens, at});
    sequence.private_tokens -= part.tokens;
    private_tokens_ -= part.tokens;
    if (!is_cached(part.id)) {
      CachedPart& cached_part = parts_[part.id];
      cached_part.tokens = part.tokens;
      cached_part.recency_position = recency_.insert(recency_.end(), part.id);
      cached_tokens_ += part.tokens;
    }
    pin(sequence, part.id);
  }
}

void Engine::decode_token(Sequence& sequence, Micros at, std::vector<EngineEvent>& out) {
  std::uint64_t const id = sequence.generation.id;
  if (!sequence.has_generated) {
    sequence.has_generated = true;
    out.push_back({EngineEvent::Kind::first_token, id, 0, at});
  }
  ++sequence.generated;
  ++sequence.private_tokens;
  ++private_tokens_;
  if (sequence.generated % config_.tokens_per_event != 0 && sequence.generated < sequence.generation.output_tokens)
    return;
  out.push_back({EngineEvent::Kind::stream_event, id,
                 (sequence.generated + config_.tokens_per_event - 1) / config_.tokens_per_event, at});
}

void Engine::end_step(Micros at, std::vector<EngineEvent>& out) {
  for (Sequence& sequence : batch_) {
    if (sequence.step_prefill > 0) {
      prefill(sequence, sequence.step_prefill, at, out);
      sequence.step_prefill = 0;
      sequence.decoding = sequence.remaining_prefill == 0;
    }
    if (!sequence.decoding) continue;
    sequence.decoding = false;
    decode_token(sequence, at, out);
  }
  for (std::list<Sequence>::iterator item = batch_.begin(); item != batch_.end();) {
    bool const done = item->generated >= item->generation.output_tokens && item->has_generated;
    if (!done && at < item->generation.deadline) {
      ++item;
      continue;
    }
    out.push_back(
        {done ? EngineEvent::Kind::completed : EngineEvent::Kind::expired_while_running, item->generation.id, 0, at});
    release_memory(*item);
    item = batch_.erase(item);
  }
  for (std::list<Sequence>::iterator item = queue_.begin(); item != queue_.end();) {
    if (at < item->generation.deadline) {
      ++item;
      continue;
    }
    out.push_back({item->has_generated ? EngineEvent::Kind::expired_while_running : EngineEvent::Kind::expired_in_queue,
                   item->generation.id, 0, at});
    item = queue_.erase(item);
  }
  // Out of memory: preempts the newest request of the least urgent priority.
  while (!make_room(0) && batch_.size() > 1) {
    std::list<Sequence>::iterator const last = std::prev(batch_.end());
    release_memory(*last);
    last->remaining_prefill = 0;
    ++preemptions;
    enqueue(std::move(*last));
    batch_.erase(last);
  }
}

void Engine::advance(Micros now, std::vector<EngineEvent>& out) {
  while (step_end_ >= 0 && step_end_ <= now) {
    Micros const at = step_end_;
    end_step(at, out);
    begin_step(at);
  }
}

}  // namespace pipit::platform_fleet
