// Full exchanges are rare, and wait while changes are spreading.
#include "mesh/anti_entropy.h"

#include <gtest/gtest.h>

namespace pipit {

TEST(AntiEntropyLimiter, equal_digests_exchange_nothing) {
  AntiEntropyLimiter limiter;
  EXPECT_FALSE(limiter.allow_exchange(7, 7, seconds(10)));
}

TEST(AntiEntropyLimiter, two_exchanges_are_a_second_apart) {
  AntiEntropyLimiter limiter;
  EXPECT_TRUE(limiter.allow_exchange(7, 8, seconds(10)));
  EXPECT_FALSE(limiter.allow_exchange(7, 8, seconds(11) - 1));
  EXPECT_TRUE(limiter.allow_exchange(7, 8, seconds(11)));
}

TEST(AntiEntropyLimiter, while_the_own_digest_changes_the_gap_is_longer) {
  AntiEntropyLimiter limiter;
  EXPECT_TRUE(limiter.allow_exchange(7, 8, seconds(10)));
  EXPECT_FALSE(limiter.allow_exchange(9, 8, seconds(11) + millis(499)));
  EXPECT_TRUE(limiter.allow_exchange(9, 8, seconds(11) + millis(500)));
}

}  // namespace pipit
