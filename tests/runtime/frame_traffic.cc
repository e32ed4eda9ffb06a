// Counters of frames between nodes, as shown in the metrics.
#include "runtime/mesh/frame_traffic.h"

#include <gtest/gtest.h>

#include "base/events.h"
#include "mesh/frame.h"

namespace pipit {

TEST(FrameTraffic, counts_frames_and_bytes_by_kind_and_direction) {
  FrameTraffic traffic;
  std::string const ping = encode_message(wire::PingT());
  std::string const chosen = encode_message(wire::ChosenT());
  for (int n = 0; n < 3; ++n) traffic.count_sent(body_type_of(ping), ping.size());
  traffic.count_received(body_type_of(chosen), chosen.size());
  MetricsText text;
  traffic.write_metrics(text);
  std::string const page = text.take();
  EXPECT_NE(page.find("pipit_frames_sent_total{frame=\"Ping\"} 3\n"), std::string::npos) << page;
  EXPECT_NE(page.find("pipit_frame_bytes_total{frame=\"Ping\"} " + std::to_string(3 * ping.size()) + "\n"),
            std::string::npos);
  EXPECT_NE(page.find("pipit_frames_received_total{frame=\"Chosen\"} 1\n"), std::string::npos);
  EXPECT_NE(page.find("pipit_frame_received_bytes_total{frame=\"Chosen\"} " + std::to_string(chosen.size()) + "\n"),
            std::string::npos);
  EXPECT_EQ(page.find("Pong"), std::string::npos) << "a kind that was never exchanged has no row";
}

TEST(FrameTraffic, a_busy_second_is_logged_with_the_index_changes_of_that_second) {
  FrameTraffic traffic;
  IndexChangeCounters changes;
  traffic.log_busy_second(0, changes);
  changes.announced = 5;
  traffic.log_busy_second(seconds(1), changes);
  changes.announced = 7;
  changes.from_zone = 30;
  traffic.count_received(wire::Body::Deltas, 300000);
  bool const muted = log_is_muted();
  mute_log(false);
  testing::internal::CaptureStdout();
  traffic.log_busy_second(seconds(2), changes);
  std::string const line = testing::internal::GetCapturedStdout();
  mute_log(muted);
  EXPECT_NE(line.find("Deltas 300000 B in 1"), std::string::npos) << line;
  EXPECT_NE(line.find("announced 2, from the zone 30, from hubs 0"), std::string::npos) << line;
}

TEST(FrameTraffic, ignores_kinds_of_later_versions) {
  FrameTraffic traffic;
  traffic.count_received(static_cast<wire::Body>(250), 100);
  MetricsText text;
  traffic.write_metrics(text);
  EXPECT_EQ(text.take().find("{frame="), std::string::npos);
}

}  // namespace pipit
