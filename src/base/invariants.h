// Invariants that the product checks at run time (docs/invariants.md). A violation changes no behaviour: it is counted
// by name, exported as a metric and logged with details. Tests, simulations and soaks fail on any violation.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>

namespace pipit {

// INVARIANT(name, names of the promises in docs/promises.md that it protects, sentence)
#define PIPIT_INVARIANTS(INVARIANT)                                                                                 \
  INVARIANT(single_run, "TWICE N1", "a request that may not repeat is retried only when no attempt may have run")   \
  INVARIANT(true_refusal, "REFUSED N2", "a request that may have run is not rejected as not run")                   \
  INVARIANT(own_answer, "MIXED N4", "a forwarded success carries the request id and the seal")                      \
  INVARIANT(stream_order, "ORDER N3", "forwarded event ids only increase within one answer")                        \
  INVARIANT(attempt_limit, "BUDGET N10", "a request is sent to no more workers than its route allows")              \
  INVARIANT(leaving_worker, "DRAIN N5", "nothing is sent to a worker that is known to be leaving")                  \
  INVARIANT(answered_in_time, "CONFIG", "no request remains in flight after its deadline")                          \
  INVARIANT(request_ends_once, "MIXED", "every accepted request is in flight or has exactly one outcome")           \
  INVARIANT(revision_rises, "CONFIG N7", "the revision of the configuration in force never decreases")              \
  INVARIANT(agreement, "CONFIG N8", "two chosen values of one revision are equal")                                  \
  INVARIANT(read_is_current, "CONFIG N9", "a read returns no older value than was known when it was requested")     \
  INVARIANT(taken_is_not_refused, "CONFIG N8", "an order that a chosen value contains is not rejected")             \
  INVARIANT(promise_kept, "CONFIG N9", "an acceptor never breaks its promise or changes a ballot's value")          \
  INVARIANT(quorum_possible, "LOST", "a replica set never becomes smaller than the tolerated losses require")       \
  INVARIANT(end_is_known, "DRAIN N5", "the end of a worker is acknowledged only after replicas know of it")         \
  INVARIANT(key_confirmed, "CONFIG", "a key admits a request only while the configuration is confirmed as current") \
  INVARIANT(quota_kept, "QUOTA", "this node grants no more of a tenant's limit than its own share")

// The invariants of the table above.
enum class Invariant : std::uint8_t {
#define INVARIANT(name, promises, text) name,
  PIPIT_INVARIANTS(INVARIANT)
#undef INVARIANT
};

// One row of the table above.
struct InvariantRow {
  char const* name;
  char const* promises;
  char const* text;
};
// Returns the first row of the table and sets 'count' to the number of rows.
InvariantRow const* invariant_rows(std::size_t& count);

// Counts a violation and logs it, even while the log is muted. 'detail' holds the values that explain it. Thread-safe.
void report_violation(Invariant invariant, std::string const& detail);

// Reports a violation of the invariant unless 'holds'; only then is the detail function called.
template <class Detail>
void check_invariant(bool holds, Invariant invariant, Detail&& detail) {
  if (!holds) report_violation(invariant, detail());
}

// Violations of one invariant since the start of this process.
std::uint64_t violation_count(Invariant invariant);
// Violations of all invariants since the start of this process.
std::uint64_t violation_count();

// For tests of the checks themselves: the destructor resets the counts, so that deliberate violations fail no test.
class ExpectedViolations {
 public:
  ExpectedViolations();
  ~ExpectedViolations();
  ExpectedViolations(ExpectedViolations const&) = delete;
  ExpectedViolations& operator=(ExpectedViolations const&) = delete;
  // Returns the violations of this invariant since this object was created.
  std::uint64_t seen(Invariant invariant) const;

 private:
  std::uint64_t before_[64];
};

}  // namespace pipit
