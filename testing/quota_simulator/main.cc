// quota_simulator: runs each scenario of tenants' keys and limits, prints its figures, and fails on any finding.
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "base/events.h"
#include "base/invariants.h"
#include "testing/quota_simulator/load.h"

namespace {
std::uint64_t number_at(int argc, char** argv, char const* flag, std::uint64_t otherwise) {
  for (int n = 1; n + 1 < argc; ++n)
    if (std::strcmp(argv[n], flag) == 0) return std::strtoull(argv[n + 1], nullptr, 10);
  return otherwise;
}
}  // namespace

int main(int argc, char** argv) {
  using namespace pipit;
  using namespace pipit::tenants;
  std::uint64_t const from = number_at(argc, argv, "--from", 1);
  std::uint64_t const seeds = number_at(argc, argv, "--seeds", 3);
  std::size_t const plain = number_at(argc, argv, "--plain", 7);
  std::size_t const disks = number_at(argc, argv, "--disks", 5);
  if (seeds == 0 || disks < 3) {
    std::fprintf(stderr,
                 "quota_simulator: --seeds N (1 or more) --from SEED --disks N (3 or more) --plain N [SCENARIO]\n");
    return 2;
  }
  mute_log(true);
  bool found = false;
  std::printf("%-16s %6s %8s %8s %8s %8s %8s %8s %8s %9s %9s\n", "scenario", "seed", "sent", "granted", "refused",
              "below", "unserved", "of due", "fullest", "messages", "B/node/s");
  for (Scenario const& scenario : scenarios()) {
    for (std::uint64_t seed = from; seed < from + seeds; ++seed) {
      LoadPlan plan;
      plan.seed = seed;
      plan.disks = disks;
      plan.plain = plain;
      Load load(plan);
      RandomSource random(seed * 77 + 3);
      load.begin();
      std::uint64_t const messages = load.messages();
      std::uint64_t const bytes = load.message_bytes();
      scenario.run(load, random);
      load.finish();
      TenantFigures sum;
      for (TenantFigures const& item : load.figures) {
        sum.sent += item.sent;
        sum.granted += item.granted;
        sum.refused += item.refused;
        sum.refused_within_limit += item.refused_within_limit;
        sum.unavailable += item.unavailable;
        sum.tokens += item.tokens;
        sum.tokens_within_limit += item.tokens_within_limit;
        sum.max_window_usage = std::max(sum.max_window_usage, item.max_window_usage);
      }
      double const span = static_cast<double>(load.sending()) / 1e6;
      std::printf("%-16s %6llu %8llu %8llu %8llu %8llu %8llu %8.2f %8.2f %9llu %9.0f\n", scenario.name,
                  static_cast<unsigned long long>(seed), static_cast<unsigned long long>(sum.sent),
                  static_cast<unsigned long long>(sum.granted), static_cast<unsigned long long>(sum.refused),
                  static_cast<unsigned long long>(sum.refused_within_limit),
                  static_cast<unsigned long long>(sum.unavailable), sum.tokens / sum.tokens_within_limit,
                  sum.max_window_usage, static_cast<unsigned long long>(load.messages() - messages),
                  static_cast<double>(load.message_bytes() - bytes) / span / static_cast<double>(disks + plain));
      for (std::string const& finding : load.findings) std::printf("  FOUND %s\n", finding.c_str());
      found = found || !load.findings.empty();
    }
  }
  if (violation_count() > 0)
    std::printf("%llu invariants were violated\n", static_cast<unsigned long long>(violation_count()));
  return found || violation_count() > 0 ? 1 : 0;
}
