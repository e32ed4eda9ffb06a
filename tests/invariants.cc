// Makes every test of this program fail if an invariant is violated in it, and tests that violations are documented,
// counted, logged and exported as metrics.
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
      ADD_FAILURE() << violation_count() - before << " invariant violations; see the log above";
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

TEST(Invariants, all_are_documented_and_exported_as_metrics) {
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

TEST(Invariants, violations_are_counted_logged_and_exported_by_name) {
  ExpectedViolations expected;
  testing::internal::CaptureStdout();
  check_invariant(true, Invariant::agreement, [] { return std::string("must not be evaluated"); });
  check_invariant(false, Invariant::agreement, [] { return std::string("detail of the violation"); });
  std::string const log = testing::internal::GetCapturedStdout();
  EXPECT_EQ(expected.seen(Invariant::agreement), 1u);
  EXPECT_EQ(expected.seen(Invariant::single_run), 0u);
  EXPECT_NE(log.find("E910"), std::string::npos) << log;
  EXPECT_NE(log.find("agreement"), std::string::npos) << log;
  EXPECT_NE(log.find("detail of the violation"), std::string::npos) << log;
  MetricsText text;
  text.invariants();
  EXPECT_NE(text.take().find("{invariant=\"agreement\"} 1\n"), std::string::npos);
}

TEST(Invariants, violations_are_not_counted_while_a_guard_is_disabled) {
  ExpectedViolations expected;
  disabled_guard() = Guard::promise;
  report_violation(Invariant::promise_kept, "");
  disabled_guard() = Guard::none;
  EXPECT_EQ(expected.seen(Invariant::promise_kept), 0u);
}

// Two different values chosen at one revision violate agreement.
TEST(Invariants, two_values_of_one_revision_violate_agreement) {
  ExpectedViolations expected;
  Learner learner(1);
  EXPECT_TRUE(learner.adopt(value_of(5, "one"), 0));
  EXPECT_FALSE(learner.adopt(value_of(5, "one"), 0));
  EXPECT_EQ(expected.seen(Invariant::agreement), 0u);
  EXPECT_FALSE(learner.adopt(value_of(5, "two"), 0));
  EXPECT_EQ(expected.seen(Invariant::agreement), 1u);
}

// An acceptor that accepts a second, different value for one ballot breaks its promise.
TEST(Invariants, a_ballot_with_two_values_violates_promise_kept) {
  ExpectedViolations expected;
  wire::RecordT blank;
  blank.name = "k";
  blank.disk = 3;
  Acceptor acceptor(std::move(blank));
  std::vector<OutgoingMessage> out;
  for (char const* const text : {"one", "one", "two"}) {
    wire::AcceptT accept;
    accept.ballot = wire::Ballot(4, 9);
    accept.value = std::make_unique<wire::ValueT>(value_of(7, text));
    wire::BodyUnion body;
    body.Set(std::move(accept));
    acceptor.enqueue("p", std::move(body));
    if (acceptor.step(out)) acceptor.on_synced(out);
    EXPECT_EQ(expected.seen(Invariant::promise_kept), std::string(text) == "two" ? 1u : 0u);
  }
}

}  // namespace pipit
