// The judge of the platform's fleet experiments and their notation of faults. A violation that the judge misses here
// goes unnoticed in every experiment.
#include <gtest/gtest.h>

#include "testing/platform_fleet_test/figures.h"
#include "testing/platform_fleet_test/judge.h"
#include "testing/platform_fleet_test/operators.h"
#include "testing/platform_fleet_test/faults.h"

namespace pipit::platform_fleet {
namespace {

Attempt attempt_of(std::string id, bool repeatable, std::int64_t events = 3) {
  Attempt out;
  out.id = std::move(id);
  out.service = "s";
  out.target = "POST /a";
  out.body = 7;
  out.repeatable = repeatable;
  out.events = events;
  out.node = "n";
  out.sent = 1000;
  return out;
}

// How often a promise was broken.
std::uint64_t broken(Judge const& judge, Promise promise) { return judge.count(promise); }

}  // namespace

TEST(Judge, correct_exchange_breaks_no_promise) {
  Judge judge;
  Attempt& attempt = judge.record_sent(attempt_of("a", false));
  ASSERT_EQ(judge.record_arrival("a", "POST /a", 7, "s", "w", 2000), &attempt);
  judge.record_run(attempt, 5, "w");
  StreamProgress reading;
  std::string text;
  for (std::int64_t n = 1; n <= 3; ++n) text += event_text("a", n, 5, 2000, 60);
  // The judge must read the stream however it is split; here it comes byte by byte.
  for (char const c : text) judge.read_events(attempt, reading, std::string_view(&c, 1), 3000);
  EXPECT_EQ(reading.last_event, 3);
  EXPECT_EQ(reading.longest_transit, 1000);
  judge.record_complete(attempt, reading, "5");
  EXPECT_EQ(judge.violation_count(), 0u);
}

TEST(Judge, unknown_and_altered_requests_are_detected) {
  Judge judge;
  judge.record_sent(attempt_of("a", false));
  EXPECT_EQ(judge.record_arrival("b", "POST /a", 7, "s", "w", 0), nullptr);
  EXPECT_EQ(judge.record_arrival("a", "POST /a?x", 7, "s", "w", 0), nullptr);
  EXPECT_EQ(judge.record_arrival("a", "POST /a", 8, "s", "w", 0), nullptr);
  EXPECT_EQ(broken(judge, Promise::unasked), 3u);
}

TEST(Judge, repeated_runs_and_runs_of_refused_requests_are_detected) {
  Judge judge;
  Attempt& once = judge.record_sent(attempt_of("a", false));
  judge.record_run(once, 1, "w");
  EXPECT_EQ(judge.violation_count(), 0u);
  judge.record_run(once, 2, "v");
  EXPECT_EQ(broken(judge, Promise::twice), 1u);
  Attempt& after = judge.record_sent(attempt_of("b", false));
  judge.record_refusal(after, 503);
  EXPECT_EQ(broken(judge, Promise::refused_ran), 0u);
  judge.record_run(after, 3, "w");
  EXPECT_EQ(broken(judge, Promise::refused_ran), 1u);
  Attempt& before = judge.record_sent(attempt_of("c", false));
  judge.record_run(before, 4, "w");
  judge.record_refusal(before, 429);
  EXPECT_EQ(broken(judge, Promise::refused_ran), 2u);
  Attempt& often = judge.record_sent(attempt_of("d", true));
  judge.record_run(often, 5, "w");
  judge.record_run(often, 6, "v");
  judge.record_refusal(often, 503);
  EXPECT_EQ(broken(judge, Promise::twice), 1u);
  EXPECT_EQ(broken(judge, Promise::refused_ran), 2u);
}

TEST(Judge, gaps_duplicates_mixed_runs_and_early_ends_of_streams_are_detected) {
  struct Row {
    char const* what;
    std::vector<std::pair<std::int64_t, std::uint64_t>> events;  // number, run
    bool repeatable;
    Promise promise;
    std::uint64_t times;
  };
  std::vector<Row> const rows = {
      {"gap", {{1, 5}, {3, 5}}, false, Promise::order, 1},
      {"duplicate", {{1, 5}, {1, 5}}, true, Promise::order, 1},
      {"two runs", {{1, 5}, {2, 6}, {3, 6}}, false, Promise::order, 1},
      {"resumed at another worker", {{1, 5}, {2, 6}, {3, 6}}, true, Promise::order, 0},
      {"early end", {{1, 5}, {2, 5}}, true, Promise::order, 1},
      {"unknown run", {{1, 9}}, true, Promise::mixed, 1},
  };
  for (Row const& row : rows) {
    Judge judge;
    Attempt& attempt = judge.record_sent(attempt_of("a", row.repeatable));
    attempt.seals = {5, 6};
    StreamProgress reading;
    for (std::pair<std::int64_t, std::uint64_t> const& event : row.events)
      judge.read_events(attempt, reading, event_text("a", event.first, event.second, 0, 60), 10);
    judge.record_complete(attempt, reading, "5");
    EXPECT_EQ(broken(judge, row.promise), row.times) << row.what;
    EXPECT_EQ(judge.violation_count(), row.times) << row.what;
  }
}

TEST(Judge, foreign_answers_truncated_events_and_missing_seals_are_detected) {
  Judge judge;
  Attempt& attempt = judge.record_sent(attempt_of("a", true, 1));
  attempt.seals = {5};
  StreamProgress other;
  judge.read_events(attempt, other, event_text("b", 1, 5, 0, 60), 10);
  EXPECT_EQ(broken(judge, Promise::mixed), 1u);
  StreamProgress half;
  judge.read_events(attempt, half, event_text("a", 1, 5, 0, 60) + "id: 2", 10);
  judge.record_complete(attempt, half, "5");
  EXPECT_EQ(broken(judge, Promise::mixed), 2u);
  StreamProgress good;
  judge.read_events(attempt, good, event_text("a", 1, 5, 0, 60), 10);
  judge.record_complete(attempt, good, "");
  EXPECT_EQ(broken(judge, Promise::mixed), 3u);
}

TEST(Judge, retries_are_limited_by_the_requests_in_a_window) {
  for (int const repeats : {3, 4}) {
    Judge judge;
    for (int i = 0; i < 10; ++i) judge.record_sent(attempt_of("a" + std::to_string(i), true));
    for (int i = 0; i < 10; ++i) judge.record_arrival("a" + std::to_string(i), "POST /a", 7, "s", "w", 2000);
    for (int i = 0; i < repeats; ++i) judge.record_arrival("a" + std::to_string(i), "POST /a", 7, "s", "w", 3000);
    judge.check_retries(0.2, 1, seconds(10));
    EXPECT_EQ(broken(judge, Promise::too_many_retries), repeats > 3 ? 1u : 0u);
  }
}

TEST(PlatformFleet, faults_are_parsed_with_defaults_and_sorted_by_time) {
  Result<std::vector<Fault>> const faults =
      parse_faults(" burst@6:x=2,on=note ; kill@1.5:on=core;; crash@2:share=0.5 ");
  ASSERT_TRUE(faults);
  ASSERT_EQ(faults.value().size(), 3u);
  EXPECT_EQ(faults.value()[0].kind, Fault::Kind::kill);
  EXPECT_EQ(faults.value()[0].at, 1500000);
  EXPECT_EQ(faults.value()[0].on, "core");
  EXPECT_EQ(faults.value()[0].count, 1);
  EXPECT_EQ(faults.value()[1].share, 0.5);
  EXPECT_EQ(faults.value()[2].x, 2);
  for (char const* const bad :
       {"rain@1", "kill", "kill@", "kill@x", "kill@1:count", "kill@1:count=x", "kill@-1", "kill@1:a=2"})
    EXPECT_FALSE(parse_faults(bad)) << bad;
}

TEST(PlatformFleet, equal_configurations_have_the_same_canonical_text) {
  EXPECT_EQ(canonical("{\"a\":1,\"b\":[{\"name\":\"x\"},{\"name\":\"y\",\"z\":true}]}"),
            canonical("{ \"b\":[{\"z\":true,\"name\":\"y\"},{\"name\":\"x\"}], \"a\":1.0 }"));
  EXPECT_NE(canonical("{\"a\":[1,2]}"), canonical("{\"a\":[2,1]}"));
  EXPECT_NE(canonical("{\"a\":1}"), canonical("{\"a\":2}"));
  EXPECT_EQ(canonical("{\"a\":"), "");
}

TEST(PlatformFleet, reports_are_compared_row_by_row) {
  Figures a;
  a.put("worth", 0.5);
  a.put("same", 3);
  Figures b;
  b.put("worth", 0.75);
  b.put("same", 3);
  std::string const text = compare(a, b);
  EXPECT_NE(text.find("+50.0%"), std::string::npos) << text;
  EXPECT_EQ(text.find("same"), std::string::npos) << text;
  EXPECT_EQ(compare(a, a), "no difference\n");
}

}  // namespace pipit::platform_fleet
