// Invariants: promises that the product checks while it runs (docs/invariants.md). A violation changes no behaviour; it
// is counted by name, shown in the metrics and logged with what explains it. Tests, simulations and soaks fail on any.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>

namespace pipit {

// INVARIANT(name, names in docs/promises.md of the promises that it guards, sentence)
#define PIPIT_INVARIANTS(INVARIANT)                                                                              \
  INVARIANT(single_run, "TWICE N1", "what may not be repeated is sent again only when no attempt may have run")  \
  INVARIANT(true_refusal, "REFUSED N2", "what may have run is not refused with a promise that it has not")       \
  INVARIANT(own_answer, "MIXED N4", "a success that is passed on names the request and bears the seal")          \
  INVARIANT(stream_order, "ORDER N3", "event ids that were passed on only rise within one answer")               \
  INVARIANT(attempt_limit, "BUDGET N10", "no more workers get a request than its route allows")                  \
  INVARIANT(leaving_worker, "DRAIN N5", "nothing is sent to a worker that is known to leave")                    \
  INVARIANT(answered_in_time, "CONFIG", "no request is left without an end after its time")                      \
  INVARIANT(request_ends_once, "MIXED", "every request that came has one end or is under way")                   \
  INVARIANT(revision_rises, "CONFIG N7", "the configuration that is in force never goes back")                   \
  INVARIANT(agreement, "CONFIG N8", "two chosen values of one revision are the same")                            \
  INVARIANT(read_is_current, "CONFIG N9", "a reading is no older than what was known when it was asked")         \
  INVARIANT(taken_is_not_refused, "CONFIG N8", "an order that a chosen value remembers is not refused")          \
  INVARIANT(promise_kept, "CONFIG N9", "an acceptor never goes below its promise, nor changes a ballot's value") \
  INVARIANT(quorum_possible, "LOST", "a set of keepers is never made smaller than the losses allow")             \
  INVARIANT(end_is_known, "DRAIN N5", "the end of a worker is acknowledged only once peers know it")             \
  INVARIANT(key_confirmed, "CONFIG", "a key lets a request run only while the configuration is known to be new") \
  INVARIANT(quota_kept, "QUOTA", "no more of a tenant's limit is granted here than this node's share of it")

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
// The first row; 'count' is set to their number.
InvariantRow const* invariant_rows(std::size_t& count);

// Counts a violation and logs it, also where the log is muted. 'detail' names what is needed to explain it.
void report_violation(Invariant invariant, std::string const& detail);

// Checks one invariant; the detail is only made when it does not hold.
template <class Detail>
void check_invariant(bool holds, Invariant invariant, Detail&& detail) {
  if (!holds) report_violation(invariant, detail());
}

// Violations since the start of this process, by invariant and of all.
std::uint64_t violation_count(Invariant invariant);
std::uint64_t violation_count();

// For tests of the checks themselves: violations that were brought about on purpose are taken back.
class ExpectedViolations {
 public:
  ExpectedViolations();
  ~ExpectedViolations();
  ExpectedViolations(ExpectedViolations const&) = delete;
  ExpectedViolations& operator=(ExpectedViolations const&) = delete;
  // Those of this invariant since this object was made.
  std::uint64_t seen(Invariant invariant) const;

 private:
  std::uint64_t before_[64];
};

}  // namespace pipit
