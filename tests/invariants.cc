// Every test fails when an invariant is violated in it, and each invariant is told where operators look.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "base/guards.h"
#include "base/invariants.h"
#include "base/metrics_text.h"
#include "consensus/register/acceptor.h"
#include "consensus/register/learner.h"

namespace pipit {

namespace {
class FailOnViolation : public testing::EmptyTestEventListener {
  void OnTestStart(testing::TestInfo const&) override { before = violation_count(); }
  void OnTestEnd(testing::TestInfo const&) override {
    if (violation_count() != before)
      ADD_FAILURE() << violation_count() - before << " violations of invariants, logged above";
  }
  std::uint64_t before = 0;
};

class Invariants : public testing::Environment {
  void SetUp() override { testing::UnitTest::GetInstance()->listeners().Append(new FailOnViolation); }
};
testing::Environment* const environment = testing::AddGlobalTestEnvironment(new Invariants);

wire::ValueT value_of(std::uint64_t revision, std::string const& text) {
  wire::ValueT out;
  out.revision = revision;
  out.serial = revision;
  out.text = text;
  return out;
}
}  // namespace

TEST(Invariants, stand_in_their_page_and_in_the_metrics) {
  std::ifstream file(std::string(SOURCE) + "/docs/invariants.md");
  std::stringstream page;
  page << file.rdbuf();
  MetricsText text;
  text.invariants();
  std::string const metrics = text.take();
  std::size_t count = 0;
  InvariantRow const* const rows = invariant_rows(count);
  for (std::size_t i = 0; i < count; ++i) {
    std::string const line = std::string("| ") + rows[i].name + " | " + rows[i].promises + " | " + rows[i].text + " |";
    EXPECT_NE(page.str().find(line), std::string::npos) << line;
    std::string const row = std::string("pipit_invariant_violations_total{invariant=\"") + rows[i].name + "\"} 0\n";
    EXPECT_NE(metrics.find(row), std::string::npos) << row;
  }
}

TEST(Invariants, violations_are_counted_by_name_and_told_in_the_metrics) {
  ExpectedViolations expected;
  testing::internal::CaptureStdout();
  check_invariant(true, Invariant::agreement, [] { return std::string("never made"); });
  check_invariant(false, Invariant::agreement, [] { return std::string("what explains it"); });
  std::string const log = testing::internal::GetCapturedStdout();
  EXPECT_EQ(expected.seen(Invariant::agreement), 1u);
  EXPECT_EQ(expected.seen(Invariant::single_run), 0u);
  EXPECT_NE(log.find("E910"), std::string::npos) << log;
  EXPECT_NE(log.find("agreement"), std::string::npos) << log;
  EXPECT_NE(log.find("what explains it"), std::string::npos) << log;
  MetricsText text;
  text.invariants();
  EXPECT_NE(text.take().find("{invariant=\"agreement\"} 1\n"), std::string::npos);
}

TEST(Invariants, are_silent_where_a_proof_switches_a_guard_off) {
  ExpectedViolations expected;
  disabled_guard() = Guard::promise;
  report_violation(Invariant::promise_kept, "");
  disabled_guard() = Guard::none;
  EXPECT_EQ(expected.seen(Invariant::promise_kept), 0u);
}

// What the checks are for: two values that were chosen at one revision, and a ballot that gets another value.
TEST(Invariants, two_values_of_one_revision_are_noticed) {
  ExpectedViolations expected;
  Learner learner(1);
  EXPECT_TRUE(learner.adopt(value_of(5, "one"), 0));
  EXPECT_FALSE(learner.adopt(value_of(5, "one"), 0));
  EXPECT_EQ(expected.seen(Invariant::agreement), 0u);
  EXPECT_FALSE(learner.adopt(value_of(5, "two"), 0));
  EXPECT_EQ(expected.seen(Invariant::agreement), 1u);
}

TEST(Invariants, a_ballot_with_two_values_is_noticed) {
  ExpectedViolations expected;
  wire::RecordT blank;
  blank.name = "k";
  blank.disk = 3;
  Acceptor acceptor(std::move(blank));
  std::vector<OutgoingMessage> out;
  for (char const* const text : {"one", "one", "two"}) {
    wire::AcceptT ask;
    ask.ballot = wire::Ballot(4, 9);
    ask.value = std::make_unique<wire::ValueT>(value_of(7, text));
    wire::BodyUnion body;
    body.Set(std::move(ask));
    acceptor.enqueue("p", std::move(body));
    if (acceptor.step(out)) acceptor.on_synced(out);
    EXPECT_EQ(expected.seen(Invariant::promise_kept), std::string(text) == "two" ? 1u : 0u);
  }
}

}  // namespace pipit
