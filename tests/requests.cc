// Model checking of the request path: orders of events, with every byte checked, and guards whose absence the checker
// must notice (docs/requests.md).
#include <gtest/gtest.h>

#include <ostream>

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

// Mutes the log of the product, which is of no interest here.
class RequestModel : public testing::Test {
 protected:
  RequestModel() { mute_log(true); }
  ~RequestModel() override { mute_log(false); }
};
}  // namespace

TEST_F(RequestModel, no_random_walk_breaks_a_rule) {
  Exploration const result = walk_requests(1, 1500, 60, true);
  EXPECT_EQ(result.faulty, 0u) << text_of(result);
  // Each event that the walks are meant to cover occurs.
  for (char const* const event : {"200", "500", "502", "503", "break", "run", "sent again", "421 of a worker", "freeze",
                                  "farewell", "answer without length"})
    EXPECT_GT(result.event_counts.count(event) == 0 ? 0 : result.event_counts.at(event), 50u) << event;
}

TEST_F(RequestModel, no_order_of_three_events_breaks_a_rule_for_a_request_that_is_not_repeatable) {
  Exploration const result = explore_requests(0, 3, true);
  EXPECT_EQ(result.faulty, 0u) << text_of(result);
  EXPECT_GT(result.executions, 30000u);
}

TEST_F(RequestModel, no_order_of_two_events_breaks_a_rule) {
  for (std::size_t kind = 0; kind < 4; ++kind) {
    Exploration const result = explore_requests(kind, 2, true);
    EXPECT_EQ(result.faulty, 0u) << text_of(result);
    EXPECT_GT(result.executions, 1000u);
  }
}

namespace {
struct DisabledGuard {
  char const* name;
  RequestGuard request_guard;
  Guard guard;
};
void PrintTo(DisabledGuard const& value, std::ostream* out) { *out << value.name; }
class RequestModelGuard : public RequestModel, public testing::WithParamInterface<DisabledGuard> {};
}  // namespace

TEST_P(RequestModelGuard, the_checker_finds_a_fault_without_it) {
  disabled_request_guard() = GetParam().request_guard;
  disabled_guard() = GetParam().guard;
  Exploration const result = walk_requests(1, 3000, 60, true);
  disabled_request_guard() = RequestGuard::none;
  disabled_guard() = Guard::none;
  EXPECT_EQ(result.faulty, 1u);
}

INSTANTIATE_TEST_SUITE_P(
    Off, RequestModelGuard,
    testing::Values(DisabledGuard{"answer_id", RequestGuard::answer_id, Guard::none},
                    DisabledGuard{"not_run_proof", RequestGuard::not_run_proof, Guard::none},
                    DisabledGuard{"torn_visible", RequestGuard::torn_visible, Guard::none},
                    DisabledGuard{"attempts", RequestGuard::attempts, Guard::none},
                    DisabledGuard{"instance", RequestGuard::instance, Guard::none},
                    DisabledGuard{"seal", RequestGuard::seal, Guard::none},
                    DisabledGuard{"event_order", RequestGuard::event_order, Guard::none},
                    DisabledGuard{"event_end", RequestGuard::event_end, Guard::none},
                    DisabledGuard{"never_repeat", RequestGuard::none, Guard::never_repeat},
                    DisabledGuard{"honest_execution_status", RequestGuard::none, Guard::honest_execution_status},
                    DisabledGuard{"bucket", RequestGuard::none, Guard::bucket}),
    [](testing::TestParamInfo<DisabledGuard> const& info) { return std::string(info.param.name); });

}  // namespace pipit
