#include "testing/platform_fleet_test/engine.h"

#include <algorithm>

namespace pipit::platform_fleet {

bool Engine::before(Running const& a, Running const& b) {
  return a.generation.rank != b.generation.rank ? a.generation.rank < b.generation.rank : a.order < b.order;
}

void Engine::enqueue(Running running) {
  std::list<Running>::iterator position = queue.begin();
  while (position != queue.end() && !before(running, *position)) ++position;
  queue.insert(position, std::move(running));
}

Engine::Admission Engine::submit(Generation generation, Micros now) {
  if (generation.prompt + generation.out > shape.cache_tokens) return Admission::too_large;
  // What goes into a free place at the next step waits in nobody's way.
  if (waiting() - (shape.slots - running()) >= shape.queue) return Admission::full;
  Running running;
  running.made = std::min(generation.out, generation.events * shape.stride);
  running.generation = std::move(generation);
  running.order = ++arrivals;
  enqueue(std::move(running));
  if (step_end < 0) begin_step(now);
  return Admission::queued;
}

bool Engine::cancel(std::uint64_t id) {
  for (std::list<Running>::iterator at = queue.begin(); at != queue.end(); ++at)
    if (at->generation.id == id) {
      queue.erase(at);
      return true;
    }
  for (std::list<Running>::iterator at = batch.begin(); at != batch.end(); ++at)
    if (at->generation.id == id) {
      release(*at);
      batch.erase(at);
      return true;
    }
  return false;
}

// How many parts are kept, one after the other from the first.
std::int64_t Engine::lead_of(Generation const& generation) const {
  std::size_t lead = 0;
  while (lead < generation.parts.size() && keeps(generation.parts[lead].id)) ++lead;
  return static_cast<std::int64_t>(lead);
}

void Engine::pin(Running& running, std::uint64_t part) {
  Kept& kept = parts[part];
  if (kept.users++ == 0) pinned += kept.tokens;
  running.pins.push_back(part);
}

void Engine::release(Running& running) {
  // The first parts are the last to give way: without them the others are worth nothing.
  for (std::vector<std::uint64_t>::reverse_iterator id = running.pins.rbegin(); id != running.pins.rend(); ++id) {
    Kept& kept = parts[*id];
    if (--kept.users == 0) pinned -= kept.tokens;
    recency.splice(recency.end(), recency, kept.place);
  }
  running.pins.clear();
  loose -= running.loose;
  running.loose = 0;
}

// Parts that nobody uses give way until that many more tokens fit.
bool Engine::evict_for(std::int64_t tokens) {
  std::list<std::uint64_t>::iterator at = recency.begin();
  while (kept_tokens + loose + tokens > shape.cache_tokens && at != recency.end()) {
    std::map<std::uint64_t, Kept>::iterator const kept = parts.find(*at);
    if (kept->second.users > 0) {
      ++at;
      continue;
    }
    kept_tokens -= kept->second.tokens;
    parts.erase(kept);
    at = recency.erase(at);
  }
  return kept_tokens + loose + tokens <= shape.cache_tokens;
}

void Engine::admit(Micros now) {
  while (!queue.empty() && running() < shape.slots) {
    Running& first = queue.front();
    std::int64_t const lead = lead_of(first.generation);
    std::int64_t spared = 0;
    for (std::int64_t i = 0; i < lead; ++i) {
      Part const& part = first.generation.parts[static_cast<std::size_t>(i)];
      spared += part.tokens;
      pin(first, part.id);
    }
    std::int64_t const total = first.generation.prompt + first.made;
    std::int64_t const missing = std::max<std::int64_t>(1, total - spared);
    if (!evict_for(missing)) {
      release(first);
      return;
    }
    first.missing = missing;
    first.loose = missing;
    first.part = static_cast<std::size_t>(lead);
    first.progress = 0;
    first.ready = now + shape.setup;
    loose += missing;
    tokens_spared += total - missing;
    std::list<Running>::iterator position = batch.begin();
    while (position != batch.end() && !before(first, *position)) ++position;
    batch.splice(position, queue, queue.begin());
  }
}

void Engine::begin_step(Micros now) {
  admit(now);
  step_end = -1;
  if (batch.empty()) return;
  std::int64_t left = shape.chunk;
  std::int64_t resident = 0;
  bool busy = false;
  Micros ready = -1;
  for (Running& running : batch) {
    running.taking = 0;
    running.decoding = running.missing == 0;
    resident += running.generation.prompt + running.made;
    if (running.missing > 0 && running.ready > now) {
      if (ready < 0 || running.ready < ready) ready = running.ready;
      continue;
    }
    running.taking = std::min(left, running.missing);
    left -= running.taking;
    busy = busy || running.decoding || running.taking > 0;
  }
  if (!busy) {
    step_end = std::max(now + 1, ready);
    return;
  }
  double const span = shape.step + shape.step_per_request * static_cast<double>(batch.size()) +
                      shape.step_per_thousand * static_cast<double>(resident) / 1000 +
                      static_cast<double>(shape.chunk - left) * 1000 / shape.tokens_per_ms;
  step_end = now + std::max<Micros>(1, static_cast<Micros>(span));
}

void Engine::read(Running& running, std::int64_t tokens, Micros at, std::vector<Happening>& out) {
  running.missing -= tokens;
  tokens_read += tokens;
  while (tokens > 0 && running.part < running.generation.parts.size()) {
    Part const& part = running.generation.parts[running.part];
    std::int64_t const now = std::min(tokens, part.tokens - running.progress);
    running.progress += now;
    tokens -= now;
    if (running.progress < part.tokens) return;
    running.progress = 0;
    ++running.part;
    out.push_back({Happening::What::read, part.id, part.tokens, at});
    running.loose -= part.tokens;
    loose -= part.tokens;
    if (!keeps(part.id)) {
      Kept& kept = parts[part.id];
      kept.tokens = part.tokens;
      kept.place = recency.insert(recency.end(), part.id);
      kept_tokens += part.tokens;
    }
    pin(running, part.id);
  }
}

void Engine::make_token(Running& running, Micros at, std::vector<Happening>& out) {
  std::uint64_t const id = running.generation.id;
  if (!running.began) {
    running.began = true;
    out.push_back({Happening::What::began, id, 0, at});
  }
  ++running.made;
  ++running.loose;
  ++loose;
  if (running.made % shape.stride != 0 && running.made < running.generation.out) return;
  out.push_back({Happening::What::event, id, (running.made + shape.stride - 1) / shape.stride, at});
}

void Engine::end_step(Micros at, std::vector<Happening>& out) {
  for (Running& running : batch) {
    if (running.taking > 0) {
      read(running, running.taking, at, out);
      running.taking = 0;
      running.decoding = running.missing == 0;
    }
    if (!running.decoding) continue;
    running.decoding = false;
    make_token(running, at, out);
  }
  for (std::list<Running>::iterator item = batch.begin(); item != batch.end();) {
    bool const done = item->made >= item->generation.out && item->began;
    if (!done && at < item->generation.due) {
      ++item;
      continue;
    }
    out.push_back({done ? Happening::What::done : Happening::What::late, item->generation.id, 0, at});
    release(*item);
    item = batch.erase(item);
  }
  for (std::list<Running>::iterator item = queue.begin(); item != queue.end();) {
    if (at < item->generation.due) {
      ++item;
      continue;
    }
    out.push_back({item->began ? Happening::What::late : Happening::What::expired, item->generation.id, 0, at});
    item = queue.erase(item);
  }
  // The newest of the least urgent loses its place.
  while (!evict_for(0) && batch.size() > 1) {
    std::list<Running>::iterator const last = std::prev(batch.end());
    release(*last);
    last->missing = 0;
    ++put_back;
    enqueue(std::move(*last));
    batch.erase(last);
  }
}

void Engine::advance(Micros now, std::vector<Happening>& out) {
  while (step_end >= 0 && step_end <= now) {
    Micros const at = step_end;
    end_step(at, out);
    begin_step(at);
  }
}

}  // namespace pipit::platform_fleet
