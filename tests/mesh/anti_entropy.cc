// Full exchanges are rate-limited, and delayed while changes are spreading.
#include "mesh/anti_entropy.h"

#include <gtest/gtest.h>

namespace pipit {

TEST(AntiEntropyLimiter, equal_digests_start_no_exchange) {
  AntiEntropyLimiter limiter;
  EXPECT_FALSE(limiter.allow_exchange(7, 7, seconds(10)));
}

TEST(AntiEntropyLimiter, exchanges_are_at_least_a_second_apart) {
  AntiEntropyLimiter limiter;
  EXPECT_TRUE(limiter.allow_exchange(7, 8, seconds(10)));
  EXPECT_FALSE(limiter.allow_exchange(7, 8, seconds(11) - 1));
  EXPECT_TRUE(limiter.allow_exchange(7, 8, seconds(11)));
}

TEST(AntiEntropyLimiter, interval_is_longer_while_the_own_digest_is_changing) {
  AntiEntropyLimiter limiter;
  EXPECT_TRUE(limiter.allow_exchange(7, 8, seconds(10)));
  EXPECT_FALSE(limiter.allow_exchange(9, 8, seconds(11) + millis(499)));
  EXPECT_TRUE(limiter.allow_exchange(9, 8, seconds(11) + millis(500)));
}

}  // namespace pipit
