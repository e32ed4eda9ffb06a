// Builds a metrics page in the Prometheus text format.
#pragma once
#include <cstdint>
#include <map>
#include <string>

namespace pipit {

// Collects metrics; each name must be added once.
class MetricsText {
 public:
  // Adds a counter, which never decreases.
  void counter(char const* name, std::uint64_t value) { row(name, "counter", value); }
  // Adds a gauge.
  void gauge(char const* name, std::uint64_t value) { row(name, "gauge", value); }
  // Adds a counter or gauge with one row for each value of a label.
  void counters(char const* name, char const* label, std::map<std::string, std::uint64_t> const& values);
  void gauges(char const* name, char const* label, std::map<std::string, std::uint64_t> const& values);
  // Adds the violations of each invariant, including zeros: a missing row could not be told from a missing check.
  void invariants();
  // Returns the finished page; the object must not be used afterwards.
  std::string take() { return std::move(out_); }

 private:
  void row(char const* name, char const* type, std::uint64_t value);
  void labelled(char const* name, char const* type, char const* label,
                std::map<std::string, std::uint64_t> const& values);
  std::string out_;
};

}  // namespace pipit
