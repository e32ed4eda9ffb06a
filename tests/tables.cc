// The tables of events, errors, fault points and test steps, and the page that repeats the events.
#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

#include "base/events.h"
#include "base/fault_points.h"
#include "base/error.h"
#include "testing/fleet_test/points.h"
#include "testing/fleet_test/steps.h"

namespace pipit {

TEST(Tables, events_match_their_documentation) {
  std::ifstream file(std::string(SOURCE) + "/docs/events.md");
  std::stringstream text;
  text << file.rdbuf();
  std::size_t n = 0;
  EventRow const* const rows = event_rows(n);
  std::set<unsigned> seen;
  for (std::size_t i = 0; i < n; ++i) {
    EXPECT_TRUE(seen.insert(rows[i].number).second) << rows[i].number << " is used by two events";
    std::string const line = "| " + std::to_string(rows[i].number) + " | " + rows[i].name + " | " + rows[i].level +
                             " | " + rows[i].text + " |";
    EXPECT_NE(text.str().find(line), std::string::npos) << line;
  }
}

TEST(Tables, only_errors_of_requests_that_did_not_run_have_a_retry_delay) {
  for (std::size_t i = 0; i < error_code_count(); ++i) {
    ErrorCodeRow const& row = error_code_row(static_cast<ErrorCode>(i));
    ErrorResponse const out = error_response(Error{static_cast<ErrorCode>(i), "", ""});
    bool const has_retry_delay = out.body.find("retry_after_ms") != std::string::npos;
    if (row.execution != ExecutionStatus::no) {
      EXPECT_FALSE(has_retry_delay) << row.name << " may have run, but its response has a retry delay";
    } else if (row.status == 429 || row.status == 503) {
      EXPECT_TRUE(has_retry_delay) << row.name << " did not run, but its response has no retry delay";
    }
  }
}

TEST(Tables, every_fault_point_has_a_test_plan) {
  std::size_t n = 0;
  FaultRow const* const rows = fault_rows(n);
  std::set<unsigned> planned;
  for (PointPlan const& item : point_plans) EXPECT_TRUE(planned.insert(item.number).second) << item.number;
  for (std::size_t i = 0; i < n; ++i)
    EXPECT_EQ(planned.erase(rows[i].number), 1u) << rows[i].name << " has no test plan";
  EXPECT_TRUE(planned.empty());
}

TEST(Tables, invalid_steps_and_schedules_are_rejected) {
  Cast const cast = cast_of(*shape_of("coop"));
  EXPECT_TRUE(read_steps("1 kill p1; 2.5 split k1,k2 k3,k4; 3 storm 5", cast));
  for (char const* const bad :
       {"1 explode p1", "1 kill p99", "soon kill p1", "1 kill", "1 blank p1", "1 storm many", "1 empty q"})
    EXPECT_FALSE(read_steps(bad, cast)) << bad;
  EXPECT_EQ(schedule_of("nonsense"), nullptr);
  for (char const* const name :
       {"calm", "change", "crash", "freeze", "cut", "keepers", "release", "leave", "stop", "exchange", "loss", "disk",
        "storm", "closing", "rolling", "large", "points", "crowd", "drill"}) {
    ASSERT_NE(schedule_of(name), nullptr) << name;
    for (char const* const shape : {"coop", "utility"})
      EXPECT_TRUE(read_steps(schedule_of(name)->steps, cast_of(*shape_of(shape)))) << name;
  }
  EXPECT_FALSE(arm_fault(99, "", 1));
}

}  // namespace pipit
