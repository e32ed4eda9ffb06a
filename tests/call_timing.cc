// The text that tells where the time of an operator's call went (platform/call_timing.h).
#include "platform/call_timing.h"

#include <gtest/gtest.h>

namespace pipit::platform {

TEST(CallTiming, text_tells_each_step_with_its_stages) {
  CallTiming timing(millis(100));
  timing.begin("read", millis(110));
  ChangeReply read;
  read.path = {"b", millis(20), 0};
  read.outcome.stages = {millis(5), millis(10), 0, 1};
  timing.end(read, millis(130));
  timing.begin("change", millis(131));
  ChangeReply change;
  change.path = {"m", 0, millis(600)};
  change.outcome.stages = {0, millis(50), millis(80), 2};
  timing.end(change, millis(861));
  EXPECT_EQ(timing.text(millis(862)),
            "in 762 ms, read 20 ms by b (queued 5 ms, 1 rounds in 10 ms, spread 0 ms), change 730 ms by m after a lost "
            "forward of 600 ms (queued 0 ms, 2 rounds in 50 ms, spread 80 ms)");
}

}  // namespace pipit::platform
