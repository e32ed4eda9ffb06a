// How many frames and bytes of each kind a node exchanged with its peers, for metrics.
//
// Job: counts. State: the counts since the process started. Thread: the loop's only.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/metrics_text.h"
#include "base/micros.h"
#include "wire_generated.h"

namespace pipit {

class FrameTraffic {
 public:
  // Bytes include the four of a frame's length.
  void count_sent(wire::Body kind, std::size_t bytes) { add(sent_, kind, bytes); }
  void count_received(wire::Body kind, std::size_t bytes) { add(received_, kind, bytes); }

  // Adds a row for each kind that was exchanged.
  void write_metrics(MetricsText& text) const;
  // Logs what the last second was made of, if that was more than a thin link carries beside its requests. To be called
  // several times a second; the log gets one line a second at most.
  void log_busy_second(Micros now);

 private:
  struct Count {
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
  };
  using Counts = std::array<Count, static_cast<std::size_t>(wire::Body::MAX) + 1>;
  static void add(Counts& counts, wire::Body kind, std::size_t bytes);
  static std::map<std::string, std::uint64_t> by_kind(Counts const& counts, std::uint64_t Count::*figure);

  static std::uint64_t total_bytes(Counts const& counts);
  static std::string largest_kinds(Counts const& now, Counts const& before);

  Counts sent_{};
  Counts received_{};
  Counts sent_at_sample_{};  // as they were at the last look
  Counts received_at_sample_{};
  Micros sampled_at_ = -1;
};

}  // namespace pipit
