// Counters of the frames that a node exchanges with its peers.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/metrics_text.h"
#include "base/micros.h"
#include "routing/exchange/report_exchange.h"
#include "wire_generated.h"

namespace pipit {

// Counts frames and bytes by kind since the process started. Used on the main loop's thread only.
class FrameTraffic {
 public:
  // 'bytes' includes the four bytes of the frame's length prefix.
  void count_sent(wire::Body kind, std::size_t bytes) { add(sent_, kind, bytes); }
  void count_received(wire::Body kind, std::size_t bytes) { add(received_, kind, bytes); }

  // Adds a metrics row for each kind of frame that was sent or received.
  void write_metrics(MetricsText& text) const;
  // Logs the largest kinds of frames of the last second, and the changes of prefix indexes in it, if the traffic was
  // more than a slow link can carry besides requests. To be called several times a second; writes at most one line per
  // second.
  void log_busy_second(Micros now, IndexChangeCounters const& index_changes);

 private:
  struct Count {
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
  };
  using Counts = std::array<Count, static_cast<std::size_t>(wire::Body::MAX) + 1>;
  static void add(Counts& counts, wire::Body kind, std::size_t bytes);
  static std::map<std::string, std::uint64_t> by_kind(Counts const& counts, std::uint64_t Count::*figure);

  static std::uint64_t total_bytes(Counts const& counts);
  static std::string describe(IndexChangeCounters const& now, IndexChangeCounters const& before);
  static std::string largest_kinds(Counts const& now, Counts const& before);

  Counts sent_{};
  Counts received_{};
  Counts sent_at_sample_{};  // counters at the last sample
  Counts received_at_sample_{};
  IndexChangeCounters index_changes_at_sample_;
  Micros sampled_at_ = -1;
};

}  // namespace pipit
