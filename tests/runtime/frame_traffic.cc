// Counters of frames between nodes, as shown in the metrics.
#include "runtime/mesh/frame_traffic.h"

#include <gtest/gtest.h>

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

TEST(FrameTraffic, ignores_kinds_of_later_versions) {
  FrameTraffic traffic;
  traffic.count_received(static_cast<wire::Body>(250), 100);
  MetricsText text;
  traffic.write_metrics(text);
  EXPECT_EQ(text.take().find("{frame="), std::string::npos);
}

}  // namespace pipit
