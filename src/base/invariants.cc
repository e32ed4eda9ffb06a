#include "base/invariants.h"

#include <atomic>
#include <iterator>

#include "base/events.h"
#include "base/guards.h"
#include "base/request_guards.h"

namespace pipit {

namespace {
InvariantRow const rows[] = {
#define INVARIANT(name, promises, text) {#name, promises, text},
    PIPIT_INVARIANTS(INVARIANT)
#undef INVARIANT
};
static_assert(std::size(rows) <= 64, "ExpectedViolations has room for 64 counts");

constexpr std::uint64_t log_limit = 100;  // log lines per invariant; later violations are only counted

std::atomic<std::uint64_t> counts[std::size(rows)];
}  // namespace

InvariantRow const* invariant_rows(std::size_t& count) {
  count = std::size(rows);
  return rows;
}

void report_violation(Invariant invariant, std::string const& detail) {
  // A test that disables a guard causes violations on purpose; the product never disables one.
  if (disabled_guard() != Guard::none || disabled_request_guard() != RequestGuard::none) return;
  std::size_t const index = static_cast<std::size_t>(invariant);
  if (++counts[index] > log_limit) return;
  log_always(Event::invariant_violated, std::string(rows[index].name) + " (" + rows[index].text + "): " + detail);
}

std::uint64_t violation_count(Invariant invariant) { return counts[static_cast<std::size_t>(invariant)]; }

std::uint64_t violation_count() {
  std::uint64_t out = 0;
  for (std::atomic<std::uint64_t> const& count : counts) out += count;
  return out;
}

ExpectedViolations::ExpectedViolations() {
  for (std::size_t i = 0; i < std::size(rows); ++i) before_[i] = counts[i];
}

ExpectedViolations::~ExpectedViolations() {
  for (std::size_t i = 0; i < std::size(rows); ++i) counts[i] = before_[i];
}

std::uint64_t ExpectedViolations::seen(Invariant invariant) const {
  return violation_count(invariant) - before_[static_cast<std::size_t>(invariant)];
}

}  // namespace pipit
