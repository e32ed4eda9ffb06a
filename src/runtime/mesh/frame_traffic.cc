#include "runtime/mesh/frame_traffic.h"

#include <functional>

#include "base/events.h"

namespace pipit {

namespace {
constexpr Micros sample_interval = seconds(1);
constexpr std::uint64_t busy_second_bytes = 256u << 10;  // per direction
constexpr std::size_t kinds_logged = 4;
}  // namespace

void FrameTraffic::add(Counts& counts, wire::Body kind, std::size_t bytes) {
  std::size_t const position = static_cast<std::size_t>(kind);
  if (position >= counts.size()) return;  // a kind that a later version introduced
  ++counts[position].frames;
  counts[position].bytes += bytes;
}

std::map<std::string, std::uint64_t> FrameTraffic::by_kind(Counts const& counts, std::uint64_t Count::*figure) {
  std::map<std::string, std::uint64_t> out;
  for (std::size_t position = 0; position < counts.size(); ++position) {
    if (counts[position].frames == 0) continue;
    out[wire::EnumNameBody(static_cast<wire::Body>(position))] = counts[position].*figure;
  }
  return out;
}

std::string FrameTraffic::largest_kinds(Counts const& now, Counts const& before) {
  struct Row {
    wire::Body kind;
    std::uint64_t frames;
  };
  std::multimap<std::uint64_t, Row, std::greater<std::uint64_t>> rows;  // by bytes, largest first
  std::uint64_t total = 0;
  for (std::size_t position = 0; position < now.size(); ++position) {
    std::uint64_t const bytes = now[position].bytes - before[position].bytes;
    total += bytes;
    if (bytes == 0) continue;
    rows.emplace(bytes, Row{static_cast<wire::Body>(position), now[position].frames - before[position].frames});
  }
  std::string out = std::to_string(total) + " B:";
  std::size_t logged = 0;
  for (std::pair<std::uint64_t const, Row> const& row : rows) {
    if (++logged > kinds_logged) break;
    out += std::string(" ") + wire::EnumNameBody(row.second.kind) + " " + std::to_string(row.first) + " B in " +
           std::to_string(row.second.frames);
  }
  return out;
}

std::string FrameTraffic::describe(IndexChangeCounters const& now, IndexChangeCounters const& before) {
  return "announced " + std::to_string(now.announced - before.announced) + ", from the zone " +
         std::to_string(now.from_zone - before.from_zone) + ", from hubs " +
         std::to_string(now.from_hubs - before.from_hubs) + ", of these beside another hub " +
         std::to_string(now.from_hubs_at_other - before.from_hubs_at_other) + ", dropped " +
         std::to_string(now.dropped - before.dropped);
}

void FrameTraffic::log_busy_second(Micros now, IndexChangeCounters const& index_changes) {
  if (sampled_at_ >= 0 && now - sampled_at_ < sample_interval) return;
  bool const busy = total_bytes(received_) - total_bytes(received_at_sample_) > busy_second_bytes ||
                    total_bytes(sent_) - total_bytes(sent_at_sample_) > busy_second_bytes;
  if (busy && sampled_at_ >= 0)
    log_event(Event::mesh_traffic_high, "received " + largest_kinds(received_, received_at_sample_) + "; sent " +
                                            largest_kinds(sent_, sent_at_sample_) +
                                            "; index changes: " + describe(index_changes, index_changes_at_sample_) +
                                            "; in " + std::to_string((now - sampled_at_) / 1000) + " ms");
  sampled_at_ = now;
  received_at_sample_ = received_;
  sent_at_sample_ = sent_;
  index_changes_at_sample_ = index_changes;
}

std::uint64_t FrameTraffic::total_bytes(Counts const& counts) {
  std::uint64_t out = 0;
  for (Count const& count : counts) out += count.bytes;
  return out;
}

void FrameTraffic::write_metrics(MetricsText& text) const {
  text.counters("pipit_frame_bytes_total", "frame", by_kind(sent_, &Count::bytes));
  text.counters("pipit_frames_sent_total", "frame", by_kind(sent_, &Count::frames));
  text.counters("pipit_frame_received_bytes_total", "frame", by_kind(received_, &Count::bytes));
  text.counters("pipit_frames_received_total", "frame", by_kind(received_, &Count::frames));
}

}  // namespace pipit
