// The path of a request as a model: orders of events, a judge over every byte, and guards whose absence it sees
// (docs/requests.md).
#include <gtest/gtest.h>

#include "base/events.h"
#include "base/guards.h"
#include "base/request_guards.h"
#include "testing/request_model_checker/explore.h"

namespace pipit {

namespace {
std::string text_of(Exploration const& result) {
  std::string out;
  for (std::string const& line : result.fault_trace) out += line + "\n";
  return out;
}

// Events of the product are not what is looked at.
class Requests : public testing::Test {
 protected:
  Requests() { mute_log(true); }
  ~Requests() override { mute_log(false); }
};
}  // namespace

TEST_F(Requests, no_walk_breaks_a_rule) {
  Exploration const result = walk_requests(1, 1500, 60, true);
  EXPECT_EQ(result.faulty, 0u) << text_of(result);
  // The walks come to what they are for.
  for (char const* const what : {"200", "500", "502", "503", "break", "run", "sent again", "421 of a worker", "freeze",
                                 "farewell", "answer without length"})
    EXPECT_GT(result.seen.count(what) == 0 ? 0 : result.seen.at(what), 50u) << what;
}

TEST_F(Requests, no_order_of_three_events_breaks_a_rule_for_what_may_not_repeat) {
  Exploration const result = explore_requests(0, 3, true);
  EXPECT_EQ(result.faulty, 0u) << text_of(result);
  EXPECT_GT(result.worlds, 30000u);
}

TEST_F(Requests, no_order_of_two_events_breaks_a_rule) {
  for (std::size_t kind = 0; kind < 4; ++kind) {
    Exploration const result = explore_requests(kind, 2, true);
    EXPECT_EQ(result.faulty, 0u) << text_of(result);
    EXPECT_GT(result.worlds, 1000u);
  }
}

namespace {
struct GuardAway {
  char const* name;
  RequestGuard guard;
  Guard other;
};
class RequestGuards : public Requests, public testing::WithParamInterface<GuardAway> {};
}  // namespace

TEST_P(RequestGuards, are_missed) {
  request_guard_off() = GetParam().guard;
  guard_off() = GetParam().other;
  Exploration const result = walk_requests(1, 3000, 60, true);
  request_guard_off() = RequestGuard::none;
  guard_off() = Guard::none;
  EXPECT_EQ(result.faulty, 1u);
}

INSTANTIATE_TEST_SUITE_P(Off, RequestGuards,
                         testing::Values(GuardAway{"answer_id", RequestGuard::answer_id, Guard::none},
                                         GuardAway{"not_run_proof", RequestGuard::not_run_proof, Guard::none},
                                         GuardAway{"torn_visible", RequestGuard::torn_visible, Guard::none},
                                         GuardAway{"attempts", RequestGuard::attempts, Guard::none},
                                         GuardAway{"instance", RequestGuard::instance, Guard::none},
                                         GuardAway{"seal", RequestGuard::seal, Guard::none},
                                         GuardAway{"event_order", RequestGuard::event_order, Guard::none},
                                         GuardAway{"event_end", RequestGuard::event_end, Guard::none},
                                         GuardAway{"never_repeat", RequestGuard::none, Guard::never_repeat},
                                         GuardAway{"honest_execution_status", RequestGuard::none,
                                                   Guard::honest_execution_status},
                                         GuardAway{"bucket", RequestGuard::none, Guard::bucket}),
                         [](testing::TestParamInfo<GuardAway> const& info) { return std::string(info.param.name); });

}  // namespace pipit
